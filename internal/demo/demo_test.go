package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"aspenbarrow/example"
)

func TestRun_ShowsPlacementsDrainAndMoves(t *testing.T) {
	var out bytes.Buffer
	began := time.Now()
	result, err := Run(context.Background(), &out, Options{Config: example.Config, Duration: 9 * time.Second, Backends: 3, Clients: 6})
	if err != nil {
		t.Fatalf("%v\n%s", err, out.String())
	}
	if result.Placed < 6 || result.Moved < 1 || result.Drained != 1 || result.PlacedAtDraining != 0 || time.Since(began) > 20*time.Second {
		t.Errorf("%+v after %v\n%s", result, time.Since(began), out.String())
	}
	for _, want := range []string{"as draining", "is moved off", "is ready again", "the relay drains", "over: "} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is not shown\n%s", want, out.String())
		}
	}
}

func TestRun_EndsWithContextAndRejectsInvalidConfig(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	var out bytes.Buffer
	if _, err := Run(ctx, &out, Options{Config: example.Config, Duration: time.Hour, Backends: 1, Clients: 1}); err != nil ||
		!strings.Contains(out.String(), "over: ") {
		t.Errorf("%v\n%s", err, out.String())
	}
	if _, err := Run(ctx, &out, Options{Config: "[relay", Duration: time.Second, Backends: 1}); err == nil {
		t.Error("no error for an invalid configuration")
	}
}
