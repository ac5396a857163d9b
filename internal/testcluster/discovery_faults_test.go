package testcluster

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fault"
)

// Relays must meet refused connections, not silent ones, while discovery is down, and find it at its old address afterwards.
func TestDiscoveryDown_RefusesConnections(t *testing.T) {
	c := newCluster(context.Background(), Options{Seed: 1, Fleet: smallCluster(2, 1, 2), WorkDir: t.TempDir()})
	c.launcher = newProcessLauncher()
	defer c.shutdown()
	if err := c.setUp(); err != nil {
		t.Fatal(err)
	}
	for i := range c.relays {
		c.checker.RelayStarted(i, c.ports.discoveryAddr(i), nil)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() error {
		response, err := client.Get("http://" + c.ports.discoveryAddr(1) + "/catalog/members")
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	waiting := make(chan error, 1)
	go func() { // a relay's call that waits for a change
		response, err := client.Get("http://" + c.ports.discoveryAddr(0) + "/catalog/members?index=1000&wait=60000")
		if err == nil {
			_ = response.Body.Close()
		}
		waiting <- err
	}()
	effects := &effectCounters{}
	end := stopDiscovery(c, &fault.Fault{Kind: "discovery down"}, effects)
	if err := get(); err == nil || !strings.Contains(err.Error(), "connection refused") {
		t.Errorf("while discovery is down: %v, want a refused connection", err)
	}
	if err := <-waiting; err == nil {
		t.Error("a call from before was answered while discovery is down")
	}
	if n := effects.counts()["struck"]; n != 2 {
		t.Errorf("%d agents affected, want 2", n)
	}
	end()
	if err := get(); err != nil {
		t.Errorf("after the fault: %v", err)
	}
}
