package main

import (
	"bytes"
	"testing"

	"aspenbarrow/internal/fake"
)

func TestServers_ExecuteDrainAndReady(t *testing.T) {
	s := servers{backends: map[string]*fake.Backend{"s-1": {}}, endpoints: []fake.Endpoint{{ID: "s-0", State: "ready"}, {ID: "s-1", State: "ready"}}}
	if err := s.discovery.Listen("127.0.0.1:0", s.endpoints...); err != nil {
		t.Fatal(err)
	}
	defer s.discovery.Close()
	var out bytes.Buffer
	s.execute("drain", "s-1", &out)
	if s.endpoints[0].State != "ready" || s.endpoints[1].State != "draining" {
		t.Errorf("after drain: %+v", s.endpoints)
	}
	s.execute("ready", "s-1", &out)
	if s.endpoints[1].State != "ready" || out.Len() != 0 {
		t.Errorf("after ready: %+v, %q", s.endpoints, out.String())
	}
	s.execute("drain", "s-7", &out)
	if want := "unknown command or backend: \"drain\" \"s-7\"\n"; out.String() != want {
		t.Errorf("an unknown backend: %q, want %q", out.String(), want)
	}
}
