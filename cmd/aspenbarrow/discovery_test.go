package main

import (
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestDiscovery_ServesFromCachedEndpointsWhileDown(t *testing.T) {
	d, list := backends(t, &fake.Backend{})
	d.Close()
	p := start(t, setup{discovery: d.Addr(), known: list})
	c := p.dial()
	c.say("PING", "STATS")
	c.hear("PONG")
	c.hear("PONG")
	c = p.dial()
	line := open("")
	c.say(line)
	c.hear("UP " + strings.Fields(line)[1])
}

func TestDiscovery_MalformedResponseKeepsLastList(t *testing.T) {
	p, d, _ := serving(t, setup{}, &fake.Backend{})
	d.SetResponse(`{"version": 9, "full": true, "servers": [{"id": "s-0", "state": "asleep"}]}`)
	p.logs("asleep", 1)
	p.up(open(""))
}

func TestDiscovery_FollowsChangedBackendAddress(t *testing.T) {
	old, moved := &fake.Backend{}, &fake.Backend{}
	p, d, list := serving(t, setup{}, old, moved)
	d.SetEndpoints(fake.Endpoint{ID: list[0].ID, Addr: list[1].Addr, Zone: "east", State: "ready", Weight: 1})
	for deadline := time.Now().Add(patience); len(moved.OpenLines()) == 0; {
		p.up(open(""))
		if time.Now().After(deadline) {
			t.Fatal("the new address is not used")
		}
	}
}
