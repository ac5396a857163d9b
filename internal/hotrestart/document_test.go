package hotrestart

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

const writtenAt = 100 * time.Second

func testDocument() Document {
	return Document{
		Name:      "n0",
		WrittenAt: writtenAt,
		Classes:   []string{"chat", "bulk"},
		Backends: []BackendRecord{
			{Name: "a", Address: "h:1", Backend: balance.Backend{ID: discovery.BackendID("a"), Weight: 1}},
			{Name: "b", Address: "h:2", Backend: balance.Backend{ID: discovery.BackendID("b"), Weight: 2}},
		},
		Snapshot: balance.Snapshot{ClassLoads: []float64{10, 20, 30}, ClassLoadSamples: []float64{1, 2, 3}},
	}
}

func TestDocument_RoundTrip(t *testing.T) {
	text, err := testDocument().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, age := range []time.Duration{0, maxDocumentAge, -maxDocumentAge} {
		d, err := Decode(text, "n0", writtenAt+age)
		if err != nil {
			t.Fatalf("age %v: %v", age, err)
		}
		if reencoded, err := d.Encode(); err != nil || string(reencoded) != string(text) {
			t.Errorf("%v\n got %s\nwant %s", err, reencoded, text)
		}
	}
}

func TestDecode_Errors(t *testing.T) {
	valid, err := testDocument().Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name, old, replacement string
		age                    time.Duration
		want                   func(error) bool
	}{
		{"empty", string(valid), "", 0, isError[*SyntaxError]},
		{"cut short", string(valid[len(valid)/2:]), "", 0, isError[*SyntaxError]},
		{"a value of the wrong kind", `"drained":false`, `"drained":1`, 0, isError[*SyntaxError]},
		{"another version", `"version":1`, `"version":2`, 0, isError[*VersionError]},
		{"another relay", `"name":"n0"`, `"name":"n9"`, 0, isError[*RelayError]},
		{"too old", "", "", maxDocumentAge + 1, isError[*AgeError]},
		{"written in the future", "", "", -maxDocumentAge - 1, isError[*AgeError]},
		{"a backend without a name", `"name":"b"`, `"name":""`, 0, isError[*BackendError]},
		{"a backend without an address", `"addr":"h:2"`, `"addr":""`, 0, isError[*BackendError]},
		{"a backend with another backend's ID", `"name":"b"`, `"name":"x"`, 0, isError[*BackendError]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			text := strings.Replace(string(valid), tc.old, tc.replacement, 1)
			if tc.old != "" && text == string(valid) {
				t.Fatalf("%q is not in %s", tc.old, valid)
			}
			d, err := Decode([]byte(text), "n0", writtenAt+tc.age)
			if !tc.want(err) || !errors.Is(err, ErrUnusable) {
				t.Errorf("unexpected %T: %v", err, err)
			}
			if d.Name != "" || d.Backends != nil {
				t.Errorf("part of a rejected document is returned: %+v", d)
			}
		})
	}
}

func isError[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}

func TestDecode_SyntaxErrorWrapsJSONError(t *testing.T) {
	_, err := Decode([]byte(`{"version":"1"}`), "n0", writtenAt)
	if !isError[*json.UnmarshalTypeError](err) {
		t.Errorf("got %v, want a wrapped *json.UnmarshalTypeError", err)
	}
}

func TestDocument_EncodeReportsOversize(t *testing.T) {
	d := testDocument()
	d.Classes = []string{strings.Repeat("x", MaxDocumentBytes)}
	_, err := d.Encode()
	if tooLarge := (*SizeError)(nil); !errors.As(err, &tooLarge) || tooLarge.Size <= MaxDocumentBytes {
		t.Errorf("got %v, want a *SizeError over %d bytes", err, MaxDocumentBytes)
	}
}

func TestDocument_EndpointList(t *testing.T) {
	d := testDocument()
	list := d.EndpointList()
	if !list.Full || len(list.Endpoints) != 2 || list.Endpoints[1].Name != "b" || list.Endpoints[1].Address != "h:2" ||
		list.Endpoints[1].Backend != d.Backends[1].Backend {
		t.Errorf("%+v", list)
	}
}

func TestDocument_RemapClasses(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		change                 func(*Document)
		classes                []string
		wantLoads, wantSamples []float64
	}{
		{"same order", nil, []string{"chat", "bulk"}, []float64{10, 20, 30}, []float64{1, 2, 3}},
		{"another order and a new class", nil, []string{"bulk", "new", "chat"}, []float64{20, 0, 10, 30}, []float64{2, 0, 1, 3}},
		{"a dropped class", nil, []string{"bulk"}, []float64{20, 30}, []float64{2, 3}},
		{"the newer of two classes of the same name", func(d *Document) { d.Classes[0] = "bulk" }, []string{"bulk"}, []float64{20, 30}, []float64{2, 3}},
		{"of two classes of the same name the one with samples", func(d *Document) { d.Classes[0], d.Snapshot.ClassLoadSamples[1] = "bulk", 0 }, []string{"bulk"},
			[]float64{10, 30}, []float64{1, 3}},
		{"number of loads does not match the classes", func(d *Document) { d.Classes = d.Classes[1:] }, []string{"bulk"}, nil, nil},
		{"number of samples does not match the loads", func(d *Document) { d.Snapshot.ClassLoadSamples = nil }, []string{"bulk"}, nil, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := testDocument()
			if tc.change != nil {
				tc.change(&d)
			}
			d.RemapClasses(tc.classes)
			if !slices.Equal(d.Snapshot.ClassLoads, tc.wantLoads) || !slices.Equal(d.Snapshot.ClassLoadSamples, tc.wantSamples) {
				t.Errorf("loads %v, samples %v", d.Snapshot.ClassLoads, d.Snapshot.ClassLoadSamples)
			}
		})
	}
}

func TestLoad_RoundTrip(t *testing.T) {
	s := balance.Snapshot{
		Backends:   []balance.BackendSnapshot{{ID: 1, TrackedLoad: 2.5}},
		ClassLoads: []float64{1}, ClassLoadSamples: []float64{1},
	}
	text, err := EncodeLoad(s)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeLoad(text)
	if err != nil || len(got.Backends) != 1 || got.Backends[0].TrackedLoad != 2.5 || got.ClassLoads != nil || got.ClassLoadSamples != nil {
		t.Errorf("%+v, %v", got, err)
	}
	if s.ClassLoads == nil {
		t.Error("the caller's snapshot is changed")
	}
	if empty, err := DecodeLoad(nil); err != nil || empty.Backends != nil {
		t.Errorf("an empty text: %+v, %v", empty, err)
	}
	if _, err := DecodeLoad([]byte("{")); !isError[*SyntaxError](err) || !errors.Is(err, ErrUnusable) {
		t.Errorf("a malformed text: %v", err)
	}
}
