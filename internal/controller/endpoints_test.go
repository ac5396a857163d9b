package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/session"
)

// A malformed entry affects its own backend alone: a drained one beside it counts as drained. The list is requested again,
// and no backend counts as removed because of a list that is read in part.
func TestController_MalformedEndpointAffectsOnlyItsBackend(t *testing.T) {
	controller, _ := newTestController(t, testConfig())
	s := testConfig().Settings
	client := discovery.NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if c, ok := client.NextRequest(); !ok || !c.FullList {
		t.Fatalf("%+v, %v", c, ok)
	}
	update, err := client.HandleResponse([]byte(`{"version":7,"full":true,"servers":[{"id":"a","addr":"h:1","state":"draining"},` +
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","cell":"x"},3]}`))
	if err == nil || !update.Changed || update.RetryDelay <= 0 {
		t.Fatalf("%+v, %v", update, err)
	}
	controller.EndpointsUpdated(2*time.Second, update.Endpoints, update.Kind)
	for i, want := range []bool{true, false, false} {
		if b := controller.Backends()[i]; (b.ClosedAt() != 0) != want {
			t.Errorf("backend %s is closed: %v", b.Name, !want)
		}
	}
	if c, ok := client.NextRequest(); !ok || !c.FullList {
		t.Errorf("the list is not requested again: %+v, %v", c, ok)
	}
}

// Malformed entries of the cached list affect their own backends alone; the relay starts, and requests the whole list.
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
		t.Errorf("%d backends, %q", len(controller.Backends()), messages)
	}
	if v, ok := controller.CachedVersion(); ok {
		t.Errorf("changes since version %d would leave the other out", v)
	}
	if err := controller.Reload(time.Second, cfg, 256); err == nil {
		t.Error("accepted by a reload")
	}
}

// The cached list has a version; a relay that polls for lists requests the changes since then.
func TestController_CachedVersion(t *testing.T) {
	driver := &fakeDriver{commands: map[uint64][]session.Command{}}
	controller, err := New(time.Second, testConfig(), driver, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := controller.CachedVersion(); !ok || v != 1 {
		t.Errorf("the cached list has version %d, %v", v, ok)
	}
}
