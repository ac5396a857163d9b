package healthcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/golden"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// testChecker returns a checker and its settings.
func testChecker(capacity int) (*Checker, *settings.Settings) {
	set := &settings.Settings{ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second,
		Settings: balance.Settings{DialTimeout: 250 * time.Millisecond}}
	return New(set, capacity), set
}

func testBackend(id balance.BackendID) *upstream.Backend {
	backend := &upstream.Backend{ID: id, Name: fmt.Sprint(id)}
	backend.SetAddress("h:1")
	return backend
}

// checkOnce checks a backend on a new connection and returns it as it is kept.
func checkOnce(t *testing.T, checker *Checker, now time.Duration, backend *upstream.Backend, conn string) *IdleConnection {
	t.Helper()
	check, step := checker.Start(now, backend)
	if !step.Dial {
		t.Fatalf("got %+v, want a dial", step)
	}
	check.Connected(now, conn)
	step = check.ReadAnswer(now, "PONG")
	if step.Keep == nil {
		t.Fatalf("got %+v, want the connection to be kept", step)
	}
	return step.Keep
}

// A reload that shortens the idle timeout also applies to connections that are idle already.
func TestChecker_ShorterIdleTimeoutAppliesAtOnce(t *testing.T) {
	checker, set := testChecker(4)
	backend := testBackend(1)
	checkOnce(t, checker, 0, backend, "first")
	shorter := *set
	shorter.IdleTimeout = time.Second
	checker.SetSettings(&shorter)
	_, step := checker.Start(800*time.Millisecond, backend)
	if !step.Dial || len(step.Close) != 1 || step.Close[0] != "first" || checker.Connections() != 1 {
		t.Errorf("%+v, %d connections", step, checker.Connections())
	}
}

func TestChecker_ReusesIdleConnection(t *testing.T) {
	checker, _ := testChecker(4)
	backend := testBackend(1)
	idle := checkOnce(t, checker, 0, backend, "first")
	check, step := checker.Start(time.Second, backend)
	if step.Send != "first" || step.Dial || checker.ExpireIdle(idle) {
		t.Fatalf("%+v", step)
	}
	// The backend has closed it in the meantime: the check continues on a new connection.
	step = check.ConnectionEnded(time.Second, false)
	if !step.Dial || step.Done || len(step.Close) != 1 || checker.Connections() != 1 {
		t.Errorf("%+v, %d connections", step, checker.Connections())
	}
}

func TestChecker_ClosesIdleConnectionsAtCapacity(t *testing.T) {
	checker, _ := testChecker(1)
	checkOnce(t, checker, 0, testBackend(1), "first")
	check, step := checker.Start(time.Second, testBackend(2))
	if !step.Dial || len(step.Close) != 1 || step.Close[0] != "first" {
		t.Fatalf("%+v", step)
	}
	other, step := checker.Start(time.Second, testBackend(3))
	if !step.Done || other.Result.Status != balance.StatusAbandoned {
		t.Errorf("a check over the capacity: %+v, %+v", step, other.Result)
	}
	if step = check.DialFailed(2 * time.Second); !step.Done || check.Result.Status != balance.StatusConnectFailed || checker.Connections() != 0 {
		t.Errorf("%+v, %+v, %d connections", step, check.Result, checker.Connections())
	}
}

func TestChecker_DropsIdleConnections(t *testing.T) {
	checker, _ := testChecker(4)
	for id := balance.BackendID(1); id <= 3; id++ {
		checkOnce(t, checker, 0, testBackend(id), fmt.Sprint("conn ", id))
	}
	if conn := checker.DropIdle(2); conn != "conn 2" || checker.DropIdle(2) != nil {
		t.Errorf("dropped %v", conn)
	}
	if conns := checker.DropAllIdle(); len(conns) != 2 || checker.Connections() != 0 {
		t.Errorf("dropped %v, %d connections left", conns, checker.Connections())
	}
}

// The requests to backends and the interpretation of their answers must not change.
func TestChecker_Golden(t *testing.T) {
	var out strings.Builder
	fmt.Fprintln(&out, "# questions to backends, and their answers")
	for _, set := range []*settings.Settings{goldenSettings, {}} {
		checker := New(set, 1)
		fmt.Fprintf(&out, "%d fields: %q\n", len(set.ReportFieldNames), checker.RequestLine())
		for _, line := range []string{"PONG", "PONG utilization=0.5,x0=0.25", "PONG x0=0.25", "ERR", "BUSY", ""} {
			check := &Check{Backend: &upstream.Backend{ID: 9}, checker: checker}
			check.ReadAnswer(time.Millisecond, line)
			fmt.Fprintf(&out, "  %q: %s, %v\n", line, goldenStatuses[check.Result.Status], check.Result.Load)
		}
	}
	golden.Compare(t, "checks.txt", out.String())
}
