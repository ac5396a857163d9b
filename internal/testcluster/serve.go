package testcluster

import (
	"context"
	"errors"
	"net"
	"time"
)

// socketRetryDelay is the pause after an error of a socket that receives connections or datagrams.
const socketRetryDelay = 5 * time.Millisecond

// serveUntilClosed calls receive, which handles one connection or datagram, until the socket is closed. It pauses after any
// other error, and ends if ctx is done by then: an error that persists, such as too many open files, would otherwise keep a core
// busy that the relays need.
func serveUntilClosed(ctx context.Context, receive func() error) {
	for {
		err := receive()
		if errors.Is(err, net.ErrClosed) || err != nil && !sleepContext(ctx, socketRetryDelay) {
			return
		}
	}
}
