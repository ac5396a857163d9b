// Package session is one client session, from its handshake to its end, and its attempts at backends. It does no I/O: the
// caller feeds it bytes, ends of connections and commands, and carries out the actions that it returns.
//
// Until a session is established one goroutine may use it. From then on two may, one that reads the client and one that
// reads the backend; the state that both use is atomic.
package session

import (
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
)

const (
	// IdleCheckInterval is how often CheckIdle is to be called while nothing comes from the backend.
	IdleCheckInterval = 250 * time.Millisecond
	// BackendSilenceTimeout is how long a client's line may go without any answer until its backend passes for dead or cut
	// off.
	BackendSilenceTimeout = 4 * time.Second
	// CloseTimeout is how long the client's end of the connection is waited for after the relay's.
	CloseTimeout = time.Second
	// ClientWriteTimeout is how long a client may take nothing until it passes for gone.
	ClientWriteTimeout = 30 * time.Second
	// ResumeTimeout is how long connections from before the relay's start are resumed after it.
	ResumeTimeout = 38 * time.Second
)

// EndKind is how one side of a connection ended.
type EndKind int32

// The kinds of end.
const (
	NoEnd      EndKind = iota
	EndFIN             // an orderly end
	EndReset           // reset, or a connection that cannot be used any more
	EndTimeout         // nothing came within the time limit
)

// Session is one client's connection.
type Session struct {
	Seq       uint64 // the relay's own number of it
	Open      protocol.Open
	ArrivedAt time.Duration // when its OPEN line was whole, or was sent if that may have been earlier
	settings  *settings.Settings
	metrics   *metrics.Registry

	acceptedAt     time.Duration // when it was taken out of the accept queue
	queuedFor      time.Duration // how long it may have been there
	pings          int
	answered       bool // the final answer has been given, or the client is gone
	attemptPending bool
	attempts       int
	attempt        *Attempt // the one that established the session
	backendReader  protocol.BackendReader

	established     atomic.Bool
	migrating       atomic.Bool
	backendBlocked  atomic.Bool  // the backend took no more of the client's lines
	unansweredSince atomic.Int64 // when the oldest line without an answer went to the backend; 0: there is none
	clientEnd       atomic.Int32 // an EndKind
	counted         atomic.Bool  // among the active sessions of the metrics
}

// New is a session whose connection has just been accepted.
func New(seq uint64, set *settings.Settings, registry *metrics.Registry) *Session {
	return &Session{Seq: seq, settings: set, metrics: registry}
}

// Accepted says when the connection was taken out of the accept queue and how long it may have been there. What lay there
// with it was sent earlier: the client's time-out counts from then, though no clock here has seen it come.
func (s *Session) Accepted(c *handshake.Connection) {
	s.acceptedAt, s.queuedFor = c.AcceptedAt, c.QueuedFor
}

// SetSettings replaces the settings until the OPEN line has been read; those in force then stay the session's.
func (s *Session) SetSettings(set *settings.Settings) { s.settings = set }

// Timeout is how long the client waits for its answer.
func (s *Session) Timeout() time.Duration { return s.Open.Timeout }

// Admitted counts a session whose OPEN line is whole and that has its place.
func (s *Session) Admitted() {
	s.counted.Store(true)
	s.metrics.ActiveSessions.Add(1)
}

// Refused counts a session that has none, for the relay is near a limit.
func (s *Session) Refused() { s.classCounters().Overload.Add(1) }

// Ended counts the end of a session that was admitted. It may be called again.
func (s *Session) Ended() {
	if s.counted.CompareAndSwap(true, false) {
		s.metrics.ActiveSessions.Add(-1)
	}
}

func (s *Session) classCounters() *metrics.ClassCounters {
	return s.metrics.Class(s.Open.Request.Class)
}

// EventKind is what the controller is to be told of a session.
type EventKind uint8

// The kinds of event.
const (
	NoEvent      EventKind = iota
	ClientLeft             // before its final answer
	AttemptEnded           // an attempt has failed, or an established session has ended
	Established
	LoadReported // the backend has sent a LOAD line
)

// Event is what the controller is to be told of a session.
type Event struct {
	Kind   EventKind
	Result balance.AttemptResult
	Load   float64 // as the LOAD line has it; the settings say what it measures
}
