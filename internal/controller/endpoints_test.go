package controller

import (
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/session"
)

// One spoilt entry costs its own backend: a drain beside it has been told and counts. The list is asked for again, and
// nobody is taken for gone by half of one.
func TestController_MalformedEndpointAffectsOnlyItsBackend(t *testing.T) {
	controller, _ := newTestController(t, testConfig())
	s := testConfig().Settings
	a := discovery.NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Fatalf("%+v, %v", c, ok)
	}
	news, err := a.HandleResponse([]byte(`{"version":7,"full":true,"servers":[{"id":"a","addr":"h:1","state":"draining"},` +
		`{"id":"b","addr":"h:2","state":"asleep"},{"id":"c","cell":"x"},3]}`))
	if err == nil || !news.Changed || news.RetryDelay <= 0 {
		t.Fatalf("%+v, %v", news, err)
	}
	controller.EndpointsUpdated(2*time.Second, news.Endpoints, news.Kind)
	for i, want := range []bool{true, false, false} {
		if b := controller.Backends()[i]; (b.ClosedAt() != 0) != want {
			t.Errorf("backend %s is closed: %v", b.Name, !want)
		}
	}
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Errorf("the list is not asked for again: %+v, %v", c, ok)
	}
}

// Entries of the configuration's list that cannot be read cost their own backends; the relay starts, and asks for all.
func TestController_MalformedCachedEndpointAffectsOnlyItsBackend(t *testing.T) {
	cfg := testConfig()
	cfg.CachedEndpoints = []byte(`{"version":4,"full":true,"servers":[{"id":"a","addr":"h:1","state":"asleep"},` +
		`{"id":"b","addr":"h:2","state":"ready"}]}`)
	var logged []string
	controller, err := New(time.Second, cfg, &fakeDriver{commands: map[uint64][]session.Command{}}, zap.New(messageLogger(func(msg string) { logged = append(logged, msg) })))
	if err != nil {
		t.Fatal(err)
	}
	if len(controller.Backends()) != 1 || controller.Backends()[0].Name != "b" || len(logged) != 1 {
		t.Errorf("%d backends, %q", len(controller.Backends()), logged)
	}
	if v, ok := controller.CachedVersion(); ok {
		t.Errorf("changes since version %d would leave the other out", v)
	}
	if err := controller.Reload(time.Second, cfg, 256); err == nil {
		t.Error("taken at a reload")
	}
}

// The list that the configuration holds has a version, from which a relay whose lists are asked for goes on.
func TestController_CachedVersion(t *testing.T) {
	driver := &fakeDriver{commands: map[uint64][]session.Command{}}
	controller, err := New(time.Second, testConfig(), driver, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if v, ok := controller.CachedVersion(); !ok || v != 1 {
		t.Errorf("the list of the configuration has version %d, %v", v, ok)
	}
}
