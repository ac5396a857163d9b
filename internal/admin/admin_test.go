package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/metrics"
)

// fake is a relay in a state of choice.
type fake struct {
	state   State
	drained atomic.Int32 // calls: the last one's word in the sign
}

func (f *fake) State() State { return f.state }
func (f *fake) SetDrained(on bool) {
	f.drained.Store(-1)
	if on {
		f.drained.Store(1)
	}
}
func (f *fake) Metrics() metrics.Snapshot {
	return metrics.Snapshot{Classes: []metrics.ClassCounts{{Name: "chat", Success: 812, Overload: 3, Error: 1}}, Dispatches: 820,
		Concurrent: 14, Targets: 9, TargetsDisabled: 2, ReloadSuccess: 4, ReloadFailure: 5}
}

func TestExecute(t *testing.T) {
	figures := "SUCCESS\nreplies.chat.success=812\nreplies.chat.overload=3\nreplies.chat.error=1\ndispatches=820\n" +
		"concurrent=14\ntargets=9\ntargets_disabled=2\nreload_success=4\nreload_failure=5\nEOT\n"
	for _, c := range []struct {
		call    string
		state   State
		want    string
		drained int32 // 1: told to drain; -1: told not to
	}{
		{"READY", Starting, "FAILURE starting", 0}, {"READY", Serving, "SUCCESS", 0}, {"READY", Drained, "FAILURE drained", 0},
		{"READY", ShuttingDown, "FAILURE leaving", 0},
		{"DRAIN", Starting, "SUCCESS", 1}, {"DRAIN", Serving, "SUCCESS", 1}, {"DRAIN", Drained, "SUCCESS", 1}, {"DRAIN", ShuttingDown, "SUCCESS leaving", 1},
		{"UNDRAIN", Starting, "SUCCESS", -1}, {"UNDRAIN", Serving, "SUCCESS", -1}, {"UNDRAIN", Drained, "SUCCESS", -1},
		{"UNDRAIN", ShuttingDown, "FAILURE leaving", 0},
		{"STATS", Starting, figures, 0}, {"STATS", ShuttingDown, figures, 0},
		{"WATCH", Serving, "FAILURE nothing is watched", 0},
		{"", Serving, "FAILURE empty call", 0}, {"drain", Serving, "FAILURE unknown call", 0}, {"DRAIN now", Serving, "FAILURE unknown call", 0},
	} {
		t.Run(fmt.Sprintf("%q in state %d", c.call, c.state), func(t *testing.T) {
			f := &fake{state: c.state}
			if got := Execute(c.call, "\n", f); !strings.HasPrefix(got, c.want) || !strings.HasSuffix(got, "\n") || f.drained.Load() != c.drained {
				t.Errorf("%q, drained %d", got, f.drained.Load())
			}
		})
	}
}

func served(t *testing.T, most int) string {
	t.Helper()
	s, err := Listen("127.0.0.1:0", most, &fake{state: Serving}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s.Addr().String()
}

func dialled(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// asked writes the pieces of a call one by one and reads to the end.
func asked(t *testing.T, addr string, pieces ...string) string {
	t.Helper()
	c := dialled(t, addr)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			t.Fatal(err)
		}
	}
	got, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("%q: %v", pieces, err)
	}
	return string(got)
}

func TestServer_Wire(t *testing.T) {
	addr := served(t, 8)
	for i := 1; i < len("READY\r\n"); i++ { // cut at each byte
		if got := asked(t, addr, "READY\r\n"[:i], "READY\r\n"[i:]); got != "SUCCESS serving\r\n" {
			t.Errorf("cut after %d: %q", i, got)
		}
	}
	if got := asked(t, addr, "READY\n"); got != "SUCCESS serving\n" {
		t.Errorf("%q", got)
	}
	if got := asked(t, addr, "READY\nDRAIN\n"); got != "SUCCESS serving\n" { // one line to a connection
		t.Errorf("%q", got)
	}
	if got := asked(t, addr, strings.Repeat("x", 4*MaxLineBytes)); !strings.HasPrefix(got, "FAILURE call over 256 bytes") {
		t.Errorf("%q", got)
	}
	c := dialled(t, addr)
	_, _ = io.WriteString(c, "DRAI")
	_ = c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); string(got) != "FAILURE call cut short\n" {
		t.Errorf("%q", got)
	}
}

// 200 callers that say nothing, or half a call, hold no more than the few connections that there are, and nobody
// who asks waits for them.
func TestServer_IdleClientsGiveWay(t *testing.T) {
	addr := served(t, 8)
	idle := make([]net.Conn, 200)
	for i := range idle {
		idle[i] = dialled(t, addr)
		if i%2 == 0 {
			_, _ = io.WriteString(idle[i], "REA")
		}
	}
	for range 20 {
		begun := time.Now()
		if got := asked(t, addr, "READY\n"); got != "SUCCESS serving\n" {
			t.Fatalf("%q", got)
		}
		if took := time.Since(begun); took > 2*time.Second {
			t.Errorf("answered after %v", took)
		}
	}
	// The first came first, so it was the first to give way.
	_ = idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := bufio.NewReader(idle[0]).ReadByte(); err == nil || isTimeout(err) {
		t.Errorf("the oldest idle caller is still there: %v", err)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
