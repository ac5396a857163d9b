package discovery

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/golden"

	"aspenbarrow/balance"
)

func TestParseEndpoints(t *testing.T) {
	list, err := ParseEndpoints([]byte(`{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},
{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},
{"id":"s-3","state":"gone"}]}`), testSettings)
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := list.Endpoints[0], list.Endpoints[1], list.Endpoints[2]
	if list.Version != 41 || !list.Full || a.Name != "s-1" || a.Address != "127.0.0.1:1" || a.Backend.Zone != 1 || a.Backend.Kind != 0 ||
		a.Backend.Cell != 3 || a.Backend.Weight != 1.5 || a.Backend.State != balance.StateReady ||
		a.Backend.ReadyAt != 1700000000000*time.Millisecond || a.Backend.ID != BackendID("s-1") {
		t.Errorf("%+v", a)
	}
	if b.Backend.Zone < 2 || b.Backend.Kind < 1 || b.Backend.State != balance.StateDraining || b.Backend.ReadyAt != 0 ||
		c.Backend.State != balance.StateRemoved {
		t.Errorf("%+v, %+v", b, c)
	}
	for _, bad := range []string{"", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`,
		`{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		if _, err := ParseEndpoints([]byte(bad), testSettings); err == nil {
			t.Errorf("%s is accepted", bad)
		}
	}
}

func FuzzParseEndpoints(f *testing.F) {
	f.Add([]byte(`{"version":1,"full":true,"servers":[{"id":"s","addr":"a:1","state":"ready","zone":1,"kind":{}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := ParseEndpoints(b, testSettings)
		if err != nil && len(list.Endpoints) != 0 {
			t.Errorf("%d endpoints returned with error %v", len(list.Endpoints), err)
		}
	})
}

// The results of parsing valid and invalid lists are those of the golden file.
func TestParseEndpoints_Golden(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{`{"version":41,"full":true,"servers":[` +
		`{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},` +
		`{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},{"id":"s-3","state":"gone"}]}`,
		`{"version":1,"servers":[]}`, "", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`, `{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		list, err := ParseEndpoints([]byte(text), testSettings)
		fmt.Fprintf(&out, "%s\n  version %d, full %v, refused %v\n", text, list.Version, list.Full, err != nil)
		for _, e := range list.Endpoints {
			b := &e.Backend
			fmt.Fprintf(&out, "  %s at %q: id %x, %s, zone %d, cell %d, weight %v, kind %d, ready at %v\n", e.Name, e.Address, uint64(b.ID),
				map[balance.BackendState]string{balance.StateRemoved: "gone", balance.StateReady: "ready", balance.StateDraining: "draining"}[b.State],
				b.Zone, b.Cell, b.Weight, b.Kind, b.ReadyAt)
		}
	}
	golden.Compare(t, "members.txt", out.String())
}

func TestParseEndpointsLenient_ErrorTypes(t *testing.T) {
	list, invalid, err := ParseEndpointsLenient([]byte(`{"version":1,"servers":[{"id":"a","addr":"h:1","state":"ready"},`+
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","state":"ready"}]}`), testSettings)
	var state *UnknownStateError
	var incomplete *IncompleteEndpointError
	if err != nil || len(list.Endpoints) != 1 || !errors.As(invalid, &state) || !errors.As(invalid, &incomplete) {
		t.Fatalf("got %+v, %v, %v", list, invalid, err)
	}
	if state.Backend != "b" || state.State != "asleep" || incomplete.Backend != "c" {
		t.Errorf("got %+v, %+v", state, incomplete)
	}
	if _, _, err := ParseEndpointsLenient([]byte("{}"), testSettings); !errors.Is(err, ErrNoVersion) {
		t.Errorf("a list without a version: got error %v", err)
	}
}
