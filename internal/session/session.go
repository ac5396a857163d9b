// Package session implements the state machine of a client session, from its handshake to its end, and of its attempts at
// backends. It does no I/O: the caller passes in received bytes, ends of connections and commands, and carries out the
// actions that are returned.
//
// Only one goroutine may use a session before it is established. From then on two may, the one that reads the client and
// the one that reads the backend; the state that both use is atomic.
package session

import (
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
)

const (
	// IdleCheckInterval is the interval at which CheckIdle is to be called while the backend sends no whole line.
	IdleCheckInterval = 250 * time.Millisecond
	// BackendSilenceTimeout is how long a client's line may remain unanswered before its backend is considered dead or cut
	// off.
	BackendSilenceTimeout = 4 * time.Second
	// CloseTimeout is how long the relay waits for the client to close the connection after it has closed its own side.
	CloseTimeout = time.Second
	// ClientWriteTimeout is how long a client may accept no bytes before it is considered gone.
	ClientWriteTimeout = 30 * time.Second
	// ResumeTimeout is how long after its start the relay resumes sessions that were established before the start.
	ResumeTimeout = 38 * time.Second
)

// EndKind is how one side of a connection ended.
type EndKind int32

// The kinds of end.
const (
	NoEnd      EndKind = iota
	EndFIN             // an orderly close
	EndReset           // a reset, or a connection that is no longer usable
	EndTimeout         // nothing arrived within the time limit
)

// Session is one client's connection.
type Session struct {
	Seq       uint64 // the relay's own number for the session
	Open      protocol.Open
	ArrivedAt time.Duration // when the last bytes of its OPEN line arrived, which may be before the connection was accepted
	settings  *settings.Settings
	metrics   *metrics.Registry

	pings          int  // PING and STATS lines received before OPEN
	answered       bool // the final answer has been given, or the client has disconnected
	attemptPending bool
	attempts       int
	attempt        *Attempt // the one that established the session
	backendReader  protocol.BackendReader

	established     atomic.Bool
	migrating       atomic.Bool
	backendBlocked  atomic.Bool  // the backend accepts no more of the client's lines
	unansweredSince atomic.Int64 // when the oldest unanswered line was sent to the backend, in ns on the relay's clock; 0: there is none
	clientEnd       atomic.Int32 // an EndKind
	counted         atomic.Bool  // included in the ActiveSessions metric
}

// New returns a session whose connection has just been accepted.
func New(seq uint64, initial *settings.Settings, registry *metrics.Registry) *Session {
	return &Session{Seq: seq, settings: initial, metrics: registry}
}

// SetSettings replaces the settings. It is called only until the OPEN line has been read; the session keeps the settings
// that are in force at that time.
func (s *Session) SetSettings(current *settings.Settings) { s.settings = current }

// Timeout is how long the client waits for its answer.
func (s *Session) Timeout() time.Duration { return s.Open.Timeout }

// Admitted counts a session whose OPEN line is complete and that is within the relay's limits.
func (s *Session) Admitted() {
	s.counted.Store(true)
	s.metrics.ActiveSessions.Add(1)
}

// Refused counts a session that is refused because the relay has reached a limit.
func (s *Session) Refused() { s.classCounters().Overload.Add(1) }

// Ended counts the end of a session that was admitted. It may be called more than once.
func (s *Session) Ended() {
	if s.counted.CompareAndSwap(true, false) {
		s.metrics.ActiveSessions.Add(-1)
	}
}

func (s *Session) classCounters() *metrics.ClassCounters {
	return s.metrics.Class(s.Open.Request.Class)
}

// EventKind is the kind of an event that is reported to the controller.
type EventKind uint8

// The kinds of event.
const (
	NoEvent      EventKind = iota
	ClientLeft             // the client has disconnected before its final answer
	AttemptEnded           // an attempt has failed, or an established session has ended
	Established
	LoadReported // the backend has sent a LOAD line
)

// Event is what a session reports to the controller.
type Event struct {
	Kind   EventKind
	Result balance.AttemptResult
	Load   float64 // the value in the LOAD line; the settings determine what it measures
}
