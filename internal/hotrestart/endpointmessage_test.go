package hotrestart

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

// testRecord returns the record of a ready backend.
func testRecord(name string) BackendRecord {
	return BackendRecord{Name: name, Address: "h:1", Told: discovery.ListVersion{Agent: "d:1", Epoch: 1, Version: 41},
		Backend: balance.Backend{ID: discovery.BackendID(name), State: balance.StateReady, Weight: 1}}
}

// parseLines parses the lines of a message into one.
func parseLines(t *testing.T, lines []string) (message EndpointMessage) {
	t.Helper()
	for _, line := range lines {
		if len(line) >= MaxDocumentBytes || strings.Contains(line, "\n") {
			t.Fatalf("a line has %d bytes or a line feed", len(line))
		}
		part, err := ParseEndpointMessage(line)
		if err != nil {
			t.Fatal(err)
		}
		message.Backends = append(message.Backends, part.Backends...)
	}
	return message
}

func TestEndpointMessage_RoundTrip(t *testing.T) {
	for _, tc := range []struct{ backends, nameBytes, lines int }{{1, 8, 1}, {1024, 8, 1}, {1024, 4000, 8}} {
		var message EndpointMessage
		for i := range tc.backends {
			r := testRecord(fmt.Sprintf("s-%0*d", tc.nameBytes, i))
			if i%2 == 1 { // a removed backend may have no address
				r.Address, r.Backend.State, r.ClosedAt = "", balance.StateRemoved, time.Second
			}
			message.Backends = append(message.Backends, r)
		}
		lines, err := message.Encode()
		if err != nil || len(lines) != tc.lines {
			t.Fatalf("%+v: %d lines, error %v", tc, len(lines), err)
		}
		if got := parseLines(t, lines); !reflect.DeepEqual(got, message) {
			t.Errorf("%+v: the parsed message differs", tc)
		}
	}
}

// A record that no line can hold does not keep the others back.
func TestEndpointMessage_OversizeRecordIsLeftOut(t *testing.T) {
	message := EndpointMessage{[]BackendRecord{testRecord("a"), testRecord(strings.Repeat("x", MaxDocumentBytes)), testRecord("b")}}
	lines, err := message.Encode()
	if !isError[*SizeError](err) {
		t.Errorf("error %v, want a *SizeError", err)
	}
	if got := parseLines(t, lines); len(got.Backends) != 2 || got.Backends[0].Name != "a" || got.Backends[1].Name != "b" {
		t.Errorf("%d backends", len(got.Backends))
	}
}

func TestParseEndpointMessage_Errors(t *testing.T) {
	lines, err := EndpointMessage{[]BackendRecord{testRecord("a")}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ name, old, replacement string }{
		{"no prefix", EndpointMessagePrefix, "ENDPOINT "},
		{"cut short", `}]`, ``},
		{"no name", `"name":"a"`, `"name":""`},
		{"another backend's ID", `"name":"a"`, `"name":"b"`},
		{"ready without an address", `"addr":"h:1"`, `"addr":""`},
		{"unknown state", `"State":1`, `"State":3`},
		{"no version", `"epoch":1`, `"epoch":0`},
	} {
		line := strings.Replace(lines[0], tc.old, tc.replacement, 1)
		if line == lines[0] {
			t.Fatalf("%s: %q is not in %s", tc.name, tc.old, lines[0])
		}
		if message, err := ParseEndpointMessage(line); !errors.Is(err, ErrEndpointMessage) || message.Backends != nil {
			t.Errorf("%s: %+v, error %v", tc.name, message, err)
		}
	}
}
