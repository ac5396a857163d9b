package testcluster

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// A socket whose error persists, such as an accept with too many open files, was tried again at once: the loop took a core from
// the relays of the run, until the end of the run and, if the socket was not closed then, beyond it.
func TestServeUntilClosed_PausesAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = time.Second
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		calls := 0
		serveUntilClosed(ctx, func() error {
			if calls++; calls > int(duration/socketRetryDelay)+1 {
				t.Errorf("%d calls in %v, want at most one in %v", calls, duration, socketRetryDelay)
				return net.ErrClosed // ends the loop
			}
			return unix.EMFILE
		})
		if ctx.Err() == nil {
			t.Error("the loop ended before the run")
		}
	})
}

// What follows an error is received: the socket is not given up.
func TestServeUntilClosed_GoesOnAfterError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := []error{nil, unix.ECONNABORTED, nil, net.ErrClosed}
		calls := 0
		serveUntilClosed(t.Context(), func() error {
			calls++
			return results[calls-1]
		})
		if calls != len(results) {
			t.Errorf("%d calls, want %d, the last of them with the closed socket", calls, len(results))
		}
	})
}
