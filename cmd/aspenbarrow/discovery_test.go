package main

import (
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestDiscovery_ServesFromCachedEndpointsWhileDown(t *testing.T) {
	discovery, endpoints := startBackends(t, &fake.Backend{})
	discovery.Close()
	process := startProcess(t, processOptions{discovery: discovery.Addr(), knownEndpoints: endpoints})
	c := process.dial()
	c.send("PING", "STATS")
	c.expect("PONG")
	c.expect("PONG")
	process.openSession(openRequest(""))
}

func TestDiscovery_MalformedResponseKeepsLastList(t *testing.T) {
	process, discovery, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	discovery.SetResponse(`{"version": 9, "full": true, "servers": [{"id": "s-0", "state": "asleep"}]}`)
	process.waitForLog("asleep", 1)
	process.openSession(openRequest(""))
}

func TestDiscovery_FollowsChangedBackendAddress(t *testing.T) {
	previous, moved := &fake.Backend{}, &fake.Backend{}
	process, discovery, endpoints := startWithBackends(t, processOptions{}, previous, moved)
	discovery.SetEndpoints(fake.Endpoint{ID: endpoints[0].ID, Addr: endpoints[1].Addr, Zone: "east", State: "ready", Weight: 1})
	for deadline := time.Now().Add(testTimeout); len(moved.OpenLines()) == 0; {
		process.openSession(openRequest(""))
		if time.Now().After(deadline) {
			t.Fatalf("no session at the new address of the backend within %v", testTimeout)
		}
	}
}
