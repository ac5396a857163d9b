package relay

import (
	"context"
	"errors"
	"net"

	"aspenbarrow/internal/session"
)

// errAttemptAbandoned ends an attempt whose client has disconnected, sent more data or been answered.
var errAttemptAbandoned = errors.New("attempt abandoned: client has disconnected, sent more data or been answered")

// attempt dials a backend, sends a client's OPEN line and waits for the first line of the answer. An UP line is
// the first answerLength bytes buffered in the returned connection.
func (r *Relay) attempt(ctx context.Context, client *bufferedConn, a *session.Attempt) (
	backend *bufferedConn, answerLength int, failure *session.AttemptError) {
	if client.hasPendingInput() {
		return nil, 0, a.DialFailed(errAttemptAbandoned, true)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadlineTime(a.Deadline))
	defer cancel()
	dialer := net.Dialer{Timeout: a.DialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", a.Backend.Address())
	if err != nil {
		return nil, 0, a.DialFailed(err, isCanceled(ctx))
	}
	backend = newBufferedConn(conn.(*net.TCPConn))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(expired) })
	if isCanceled(ctx) || client.hasPendingInput() { // the client disconnected, or was answered, during the dial
		failure = a.DialFailed(errAttemptAbandoned, true)
	} else {
		answerLength, failure = r.exchange(backend, a)
	}
	if failure == nil && !stop() {
		failure = a.ConnectionEnded(0, true, context.Cause(ctx), true)
	}
	if failure != nil {
		if isCanceled(ctx) {
			failure.Abandon()
		}
		_ = conn.Close()
		backend.recycle()
		return nil, 0, failure
	}
	return backend, answerLength, nil
}

// isCanceled reports whether an attempt was abandoned, rather than ended by its deadline.
func isCanceled(ctx context.Context) bool { return errors.Is(ctx.Err(), context.Canceled) }

// exchange sends the OPEN line and reads the answer. It returns the length of an UP line.
func (r *Relay) exchange(backend *bufferedConn, a *session.Attempt) (int, *session.AttemptError) {
	request, failure := a.Connected(r.now())
	if failure != nil {
		return 0, failure
	}
	buffers := net.Buffers{request[0], request[1], request[2]}
	if n, err := buffers.WriteTo(backend.conn); err != nil {
		return 0, a.ConnectionEnded(int(n), false, err, false)
	}
	a.RequestSent()
	for seen := 0; ; {
		b, err := backend.peekBeyond(seen)
		if err != nil {
			return 0, a.ConnectionEnded(0, true, err, isTimeout(err))
		}
		if n, failure := a.ReadAnswer(b); n > 0 || failure != nil {
			return n, failure
		}
		seen = len(b)
	}
}
