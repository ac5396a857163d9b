package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/session"
)

// A malformed entry affects only its own backend: a draining backend in the same list is drained. The list is requested again,
// and a list that could be parsed only in part removes no backend.
func TestController_MalformedEndpointAffectsOnlyItsBackend(t *testing.T) {
	controller, _ := newTestController(t, testConfig())
	relaySettings := testConfig().Settings
	client := discovery.NewClient("d:1", &relaySettings, false, rand.New(rand.NewPCG(1, 1)))
	if request, ok := client.NextRequest(); !ok || !request.FullList {
		t.Fatalf("first request %+v, %v; want one for the full list", request, ok)
	}
	update, err := client.HandleResponse([]byte(`{"version":7,"full":true,"servers":[{"id":"a","addr":"h:1","state":"draining"},` +
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","cell":"x"},3]}`))
	if err == nil || !update.Changed || update.RetryDelay <= 0 {
		t.Fatalf("update %+v, error %v; want both, and a retry delay", update, err)
	}
	controller.EndpointsUpdated(2*time.Second, update.Endpoints, update.Kind)
	for i, want := range []bool{true, false, false} {
		if backend := controller.Backends()[i]; (backend.ClosedAt() != 0) != want {
			t.Errorf("backend %s is closed: %v", backend.Name, !want)
		}
	}
	if request, ok := client.NextRequest(); !ok || !request.FullList {
		t.Errorf("the full list is not requested again: %+v, %v", request, ok)
	}
}

// Malformed entries of the cached list affect only their own backends. The relay starts, and requests the whole list.
func TestController_MalformedCachedEndpointAffectsOnlyItsBackend(t *testing.T) {
	cfg := testConfig()
	cfg.CachedEndpoints = []byte(`{"version":4,"full":true,"servers":[{"id":"a","addr":"h:1","state":"asleep"},` +
		`{"id":"b","addr":"h:2","state":"ready"}]}`)
	var messages []string
	controller, err := New(time.Second, cfg, &fakeDriver{commands: map[uint64][]session.Command{}}, zap.New(messageLogger(func(msg string) { messages = append(messages, msg) })))
	if err != nil {
		t.Fatal(err)
	}
	if len(controller.Backends()) != 1 || controller.Backends()[0].Name != "b" || len(messages) != 1 {
		t.Errorf("%d backends, logged %q; want backend b and one message", len(controller.Backends()), messages)
	}
	if version, ok := controller.CachedVersion(); ok {
		t.Errorf("cached version %d: changes since then would not contain the malformed entry", version)
	}
	if err := controller.Reload(time.Second, cfg, 256); err == nil {
		t.Error("a reload has accepted a malformed cached list")
	}
}

// A relay that polls for lists requests the changes since the version of the cached list.
func TestController_CachedVersion(t *testing.T) {
	driver := &fakeDriver{commands: map[uint64][]session.Command{}}
	controller, err := New(time.Second, testConfig(), driver, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if version, ok := controller.CachedVersion(); !ok || version != 1 {
		t.Errorf("cached version %d, %v, want 1", version, ok)
	}
}
