package scenario

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"testing"

	"aspenbarrow/internal/fault"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// everything returns a script with every key and an incident of every kind.
func everything() []byte {
	var b bytes.Buffer
	b.WriteString(`name = "everything"
seed = 9
length = "60s"
[fleet]
relays = 10
backends = 6
clients = 40
rush = "1s"
stay = ["3s", "20s"]
return = "200ms"
hot-key = 0.1
hot-relay = 0.2
mid-stream = 0.5
no-reports = true
no-peers = true
membership = true
weights = true
[server]
cores = 4
speed = 1.5
queue = 10
backlog = 12
set-up-work = "4ms"
line-work = "2ms"
connection-load = 0.1
report-every = "1s"
report-noise = 0.05
sizes = [0.5, 1.0]
late-share = 0.25
late-by = "300ms"
[shared]
places = 3
hold = "7ms"
[[group]]
name = "east"
relays = "0-2, 7"
backends = "1,3"
`)
	for i, k := range Kinds() {
		fmt.Fprintf(&b, "[[incident]]\nkind = %q\nat = \"%ds\"\nfor = \"1500ms\"\nwho = %d\nmuch = 0.25\ngroup = \"east\"\n", k, i%50+1, i+1)
		if k == "link" {
			b.WriteString("from = \"relays:east\"\nto = \"relays\"\nboth = true\ncut = true\nhold = true\nloss = 0.1\ndouble = 0.2\nreorder = 0.3\ndelay = \"20ms\"\njitter = \"5ms\"\n")
		}
	}
	return b.Bytes()
}

// TestParse_IncidentsMatchGolden checks that the stored script, with every key, resolves to the stored faults, and that these
// decode and encode again to the same bytes.
func TestParse_IncidentsMatchGolden(t *testing.T) {
	const script, faults = "testdata/everything.golden.toml", "testdata/incidents.golden.json"
	if *update {
		if err := os.WriteFile(script, everything(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(script)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, everything()) {
		t.Errorf("%s differs from the generated script with every kind of incident", script)
	}
	s, err := Parse("s", text)
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.MarshalIndent(s.faults(), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(faults, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(faults)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("faults of the script\n%s\nwant\n%s", got, want)
	}
	var decoded []fault.Fault
	d := json.NewDecoder(bytes.NewReader(want))
	d.DisallowUnknownFields()
	if err := d.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	if encoded, err := json.MarshalIndent(decoded, "", " "); err != nil || !bytes.Equal(encoded, want) || !reflect.DeepEqual(decoded, s.faults()) {
		t.Errorf("%v; decoded and encoded again\n%s", err, encoded)
	}

	// The stored script sets every key of its tables.
	for name, v := range map[string]any{"fleet": s.Fleet, "server": s.Server, "shared": s.Shared, "group": s.Groups[0]} {
		r := reflect.ValueOf(v)
		for i := range r.NumField() {
			if r.Field(i).IsZero() {
				t.Errorf("%s: %s is not set", name, r.Type().Field(i).Name)
			}
		}
	}
	hasLink := false
	for _, in := range s.Incidents {
		if in.Kind != "link" {
			continue
		}
		hasLink = true
		r := reflect.ValueOf(in)
		for i := range r.NumField() {
			if f := r.Type().Field(i); f.IsExported() && r.Field(i).IsZero() {
				t.Errorf("incident: %s is not set", f.Name)
			}
		}
	}
	if !hasLink || len(decoded) != len(Kinds()) {
		t.Errorf("contains a link: %v, %d faults for %d kinds", hasLink, len(decoded), len(Kinds()))
	}
}
