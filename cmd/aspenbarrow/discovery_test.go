package main

import (
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestDiscovery_ServesFromCachedEndpointsWhileDown(t *testing.T) {
	d, list := startBackends(t, &fake.Backend{})
	d.Close()
	p := startProcess(t, processOptions{discovery: d.Addr(), knownEndpoints: list})
	c := p.dial()
	c.send("PING", "STATS")
	c.expect("PONG")
	c.expect("PONG")
	c = p.dial()
	line := openRequest("")
	c.send(line)
	c.expect("UP " + strings.Fields(line)[1])
}

func TestDiscovery_MalformedResponseKeepsLastList(t *testing.T) {
	p, d, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	d.SetResponse(`{"version": 9, "full": true, "servers": [{"id": "s-0", "state": "asleep"}]}`)
	p.waitForLog("asleep", 1)
	p.openSession(openRequest(""))
}

func TestDiscovery_FollowsChangedBackendAddress(t *testing.T) {
	old, moved := &fake.Backend{}, &fake.Backend{}
	p, d, list := startWithBackends(t, processOptions{}, old, moved)
	d.SetEndpoints(fake.Endpoint{ID: list[0].ID, Addr: list[1].Addr, Zone: "east", State: "ready", Weight: 1})
	for deadline := time.Now().Add(testTimeout); len(moved.OpenLines()) == 0; {
		p.openSession(openRequest(""))
		if time.Now().After(deadline) {
			t.Fatal("the new address is not used")
		}
	}
}
