// Package session is one client session, from its handshake to its end, and its attempts at backends. It does no I/O: the
// caller feeds it bytes, ends of connections and commands, and carries out the actions that it returns.
//
// Until a session is established one goroutine may use it. From then on two may, one that reads the client and one that
// reads the backend; the state that both use is atomic.
package session

import (
	"bytes"
	"errors"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// Figures of a flow's life.
const (
	IdleCheckInterval     = 250 * time.Millisecond // how often a quiet flow looks whether it has gone silent
	BackendSilenceTimeout = 4 * time.Second        // a line without any answer for this long: the backend is dead or cut off
	CloseTimeout          = time.Second            // the client's end is waited for so long after ours
	ClientWriteTimeout    = 30 * time.Second       // a client that takes nothing for this long is gone
	ResumeTimeout         = 38 * time.Second       // a connection from before this start is brought up within this
)

// EndKind is how one side of a connection ended.
type EndKind int32

// The ends.
const (
	NoEnd      EndKind = iota
	EndFIN             // an orderly end
	EndReset           // broken off, or a connection that cannot be used any more
	EndTimeout         // nothing came in the time that there was
)

const maxPings = 16 // before an OPEN: as many as fit into any socket's buffer, read or not

// What can be wrong with a connection that has not said a whole OPEN, beside its lines.
var (
	ErrHandshakeTimeout = errors.New("no whole line in time")
	ErrTruncatedLine    = errors.New("ended within a line")
	ErrTooManyPings     = errors.New("too many probes")
	ErrNotResumable     = errors.New("at a backend, but not from before the start")
	ErrDataBeforeAnswer = errors.New("sent on before its answer")
	ErrLateUp           = errors.New("UP came after the final answer")
)

// Session is one client's connection.
type Session struct {
	Seq       uint64
	Open      protocol.Open
	ArrivedAt time.Duration // when its OPEN was whole, or was sent if that may have been longer ago
	settings  *settings.Settings
	metrics   *metrics.Registry

	acceptedAt     time.Duration // when it was taken out of the accept queue
	queuedFor      time.Duration // how long it may have been there
	pings          int
	answered       bool // the final answer is out, or the client is gone
	attemptPending bool // an attempt is out
	attempts       int
	attempt        *Attempt // the one that stands
	backendReader  protocol.BackendReader

	established     atomic.Bool
	migrating       atomic.Bool
	backendBlocked  atomic.Bool  // the backend took no more of the client's lines
	unansweredSince atomic.Int64 // when the oldest line without an answer went to the backend; 0: none
	clientEnd       atomic.Int32 // how the client ended
	counted         atomic.Bool  // counted among those that have not ended
}

// New is a connection that has just been accepted.
func New(seq uint64, set *settings.Settings, book *metrics.Registry) *Session {
	return &Session{Seq: seq, settings: set, metrics: book}
}

// Accepted says when the connection was taken out of the accept queue and how long it may have been there. What lay there
// with it was sent before: its client's patience counts from then, and no clock of the relay's own has seen it come.
func (f *Session) Accepted(g *handshake.Connection) {
	f.acceptedAt, f.queuedFor = g.AcceptedAt, g.QueuedFor
}

// UpdateSettings has a connection that has not said its OPEN yet come under other settings. From then on they stay its own.
func (f *Session) SetSettings(set *settings.Settings) { f.settings = set }

// Admitted counts a connection whose OPEN is whole and that has its place.
func (f *Session) Admitted() {
	f.counted.Store(true)
	f.metrics.ActiveSessions.Add(1)
}

// Refused counts one that has none: the relay is near a limit.
func (f *Session) Refused() { f.classCounters().Overload.Add(1) }

// Ended counts the end of one that was taken. It may be called again.
func (f *Session) Ended() {
	if f.counted.CompareAndSwap(true, false) {
		f.metrics.ActiveSessions.Add(-1)
	}
}

func (f *Session) classCounters() *metrics.ClassCounters {
	return f.metrics.Class(f.Open.Request.Class)
}

// EventKind says what a Node hears of a flow.
type EventKind uint8

// The kinds of event.
const (
	NoEvent      EventKind = iota
	ClientLeft             // before its final answer
	AttemptEnded           // an attempt, or what stood
	Established
	LoadReported // the backend sent a LOAD line
)

// Event is what a Node is to hear of a flow.
type Event struct {
	Kind   EventKind
	Result balance.AttemptResult
	Load   float64 // as the LOAD line gave it: Node.note knows what it measures
}

// Handshake is what the first bytes of a client ask for.
type Handshake struct {
	Consumed int    // so many bytes are done with
	Reply    string // to be written
	Opened   bool   // OPEN is whole; its bytes stay where they are until the flow stands
}

// ReadHandshake takes in all bytes that a client has sent so far and that are not taken
// yet; ready says whether this relay may be used.
func (f *Session) ReadHandshake(now time.Duration, b []byte, ready bool) (g Handshake, err error) {
	m := protocol.ClientReader{Settings: f.settings}
	ev, n, err := m.Feed(b)
	if err != nil {
		return g, err
	}
	switch ev {
	case protocol.KindPing:
		if f.pings++; f.pings > maxPings {
			return g, ErrTooManyPings
		}
		g.Consumed, g.Reply = n, "ERR\r\n"
		if ready {
			g.Reply = "PONG\r\n"
		}
	case protocol.KindOpen:
		if len(b) > n { // a client waits for its answer: what comes with OPEN is meant for a backend's parser
			return g, ErrDataBeforeAnswer
		}
		f.Open, f.ArrivedAt, g.Opened = m.Open, now, true
		if now-f.acceptedAt < handshake.EvictionGrace { // else it was sent after the connection was taken in
			f.ArrivedAt -= f.queuedFor
		}
		if f.pings > 0 { // the buffer may slide under a head that is not its first line
			f.Open, err = protocol.ParseOpen(bytes.Clone(f.Open.Line), f.settings)
		}
	}
	return g, err
}

// HandshakeEnded says what was wrong with an end before any OPEN, of which so many
// bytes were there; nil: it left as anybody may.
func (f *Session) HandshakeEnded(how EndKind, seen int) error {
	switch {
	case how == EndTimeout:
		return ErrHandshakeTimeout
	case how == EndFIN && seen > 0:
		return ErrTruncatedLine
	}
	return nil
}

// Command is what a Node tells a flow whose request is open.
type Command struct {
	Backend     *upstream.Backend // send, or resume a connection that it holds
	Deadline    time.Duration
	Resume      bool
	DialTimeout time.Duration // how long the connection may take to come up; 0: the settings' time
	Cancel      bool
	Answer      string // the final answer
}

// Actions is what the driver is to do, in this order.
type Actions struct {
	CancelAttempt bool     // break the attempt off that is out; its end is still fed
	CloseBackend  bool     // close the backend's connection
	ClientError   error    // the client's fault, to be logged
	Answer        string   // the client's last line; our side ends after it
	Attempt       *Attempt // to be begun
	Establish     bool     // UP goes on to the client, and the flow stands
	Event         Event    // for the Node
}

// AwaitsCommands says whether the flow is still to be fed orders and attempts' ends. Only
// one answer comes of them: of a refusal and an UP that race one wins.
func (f *Session) AwaitsCommands() bool { return !f.answered || f.attemptPending }

// Execute takes in an order of the Node.
func (f *Session) Execute(now time.Duration, o Command) (do Actions) {
	switch {
	case o.Answer != "" && !f.answered:
		f.answered = true
		do.CancelAttempt, do.Answer = true, o.Answer
		if o.Answer == protocol.AnswerFailed {
			f.classCounters().Failed.Add(1)
		} else {
			f.classCounters().Overload.Add(1)
		}
		f.Ended()
	case o.Cancel:
		do.CancelAttempt = true
	case o.Backend != nil && !f.answered && !f.attemptPending:
		f.attemptPending = true
		do.Attempt = &Attempt{Backend: o.Backend, Deadline: o.Deadline, DialTimeout: f.settings.DialTimeout, StartedAt: now, resume: o.Resume,
			number: f.attempts, open: &f.Open, settings: f.settings, metrics: f.metrics}
		if o.DialTimeout > 0 {
			do.Attempt.DialTimeout = o.DialTimeout
		}
		if o.Resume {
			do.Attempt.DialTimeout = resumeDialTimeout
		}
		f.attempts++
	}
	return do
}

// ClientClosed hears that the client ended or, with spoke set, went on before its answer.
func (f *Session) ClientClosed(spoke bool) (do Actions) {
	if f.answered {
		return do
	}
	f.answered = true
	do.CancelAttempt = true
	f.Ended()
	if spoke {
		do.ClientError, do.Answer = ErrDataBeforeAnswer, protocol.AnswerFailed
		f.classCounters().Failed.Add(1)
	}
	do.Event.Kind = ClientLeft
	return do
}

// AttemptDone hears the end of an attempt; without a failure it is UP.
func (f *Session) AttemptDone(now time.Duration, a *Attempt, fail *AttemptError) (do Actions) {
	f.attemptPending = false
	switch {
	case fail == nil && !f.answered:
		f.answered, f.attempt = true, a
		f.classCounters().Success.Add(1)
		f.backendReader = protocol.BackendReader{Established: true}
		f.established.Store(true) // before UP is out: the client's next line may be here as soon as it is
		do.Establish = true
		do.Event = Event{Kind: Established, Result: balance.AttemptResult{ID: f.Seq, Attempt: a.number, Backend: a.Backend.ID,
			Latency: now - a.StartedAt}}
		return do
	case fail == nil: // the connection is given back unserved
		do.CloseBackend = true
		fail = &AttemptError{stage: stageSent, abandoned: true, err: ErrLateUp}
	case fail.answer == protocol.KindBye && !f.answered: // served to its end before it stood
		f.answered = true
		do.Answer = "BYE\r\n"
		f.classCounters().Failed.Add(1) // no connection came of it
		f.Ended()
	}
	o := balance.AttemptResult{ID: f.Seq, Attempt: a.number, Backend: a.Backend.ID, Status: fail.Status(), Latency: now - a.StartedAt,
		Closed: f.answered, Load: fail.load}
	if do.Answer != "" {
		o.Closed = true
	}
	if f.Open.Request.MidStream && o.Status == balance.StatusReset {
		// Any backend but the one that holds it resets such a connection: it works as it should, and
		// to eject it would take one sound backend after another out when a relay has gone.
		o.Status = balance.StatusCancelled
	}
	do.Event = Event{Kind: AttemptEnded, Result: o}
	return do
}

// UnknownAnswer says whether a failure was an answer that the protocol does not know.
func (e *AttemptError) UnknownAnswer() bool {
	return e.answer == protocol.KindUnknown || e.answer == protocol.KindSyntax
}

// --- once it stands --------------------------------------------------------------

// Established says whether UP has gone or is going to the client.
func (f *Session) Established() bool { return f.established.Load() }

// Migrate is called by the Node's driver: the client shall leave at the next line's
// end. The driver then wakes whoever reads the backend.
func (f *Session) Migrate() { f.migrating.Store(true) }

// FromClient takes in all bytes of the client that are not taken yet and says how
// many are whole lines, which go to the backend.
func (f *Session) FromClient(now time.Duration, b []byte) (int, error) {
	n, err := protocol.WholeLines(b)
	if n > 0 {
		f.unansweredSince.CompareAndSwap(0, int64(now))
	}
	return n, err
}

// BackendBlocked hears that the backend takes no lines: part of one may be out, so
// no more can follow. Whoever reads the backend is to be woken.
func (f *Session) BackendBlocked() { f.backendBlocked.Store(true) }

// CloseMode is what is to be done to a side whose other side ended.
type CloseMode uint8

// The ways to hang up.
const (
	CloseNone  CloseMode = iota
	CloseFIN             // end the backend's side
	CloseReset           // break both off
)

// ClientEnded hears the client's end; the backend's side ends in the same way.
func (f *Session) ClientEnded(how EndKind) CloseMode {
	if !f.clientEnd.CompareAndSwap(0, int32(how)) {
		return CloseNone
	}
	if how == EndFIN {
		return CloseFIN
	}
	return CloseReset
}

// FromBackend takes in all bytes of the backend that are not taken yet and says how
// many go to the client; the event may carry a note.
func (f *Session) FromBackend(b []byte) (n int, ev Event, err error) {
	_, n, err = f.backendReader.Feed(b)
	if err == nil && n > 0 {
		f.unansweredSince.Store(0)
		if f.backendReader.Load > 0 {
			ev = Event{Kind: LoadReported, Load: f.backendReader.Load}
		}
	}
	return n, ev, err
}

// Termination is how a flow that stood ends.
type Termination struct {
	Status        balance.Status
	CloseClient   bool   // the client's side ends with Last
	LastLine      string // its last line, perhaps none
	ResetClient   bool   // the client's side is broken off
	BackendSilent bool   // the backend said nothing any more
}

// AtLineBoundary is asked whenever no line is under way: only there may MOVE go out.
func (f *Session) AtLineBoundary() (Termination, bool) {
	return Termination{Status: balance.StatusCancelled, CloseClient: true, LastLine: protocol.AnswerMove}, f.migrating.Load()
}

// CheckIdle hears that nothing came from the backend for a while.
func (f *Session) CheckIdle(now time.Duration) (Termination, bool) {
	asked := time.Duration(f.unansweredSince.Load())
	switch {
	case f.clientEnd.Load() != 0: // ended by the client, and the backend leaves its end open
		return f.clientTermination(), true
	case f.backendBlocked.Load() || asked != 0 && now-asked > BackendSilenceTimeout:
		// The machine has vanished or is cut off: nothing but a time-out tells.
		return Termination{Status: balance.StatusReset, CloseClient: true, LastLine: protocol.AnswerMove, BackendSilent: true}, true
	}
	return Termination{}, false
}

// ClientBlocked hears that the client takes nothing any more.
func (f *Session) ClientBlocked() (Termination, CloseMode) {
	hang := f.ClientEnded(EndReset)
	return f.clientTermination(), hang
}

func (f *Session) clientTermination() Termination {
	if EndKind(f.clientEnd.Load()) == EndFIN {
		return Termination{Status: balance.StatusOK}
	}
	return Termination{Status: balance.StatusCancelled}
}

// BackendEnded ends the client's side in the way that the backend ended its own.
// A backend closes on what it cannot read. Where something of the client's is
// still unanswered the end may be of its own making and says nothing of the
// backend: one bad client could have it ejected and all others moved off it.
// A backend that dies resets its other connections as well.
func (f *Session) BackendEnded(how EndKind) Termination {
	if f.clientEnd.Load() != 0 {
		return f.clientTermination()
	}
	v := Termination{Status: balance.StatusReset}
	if f.unansweredSince.Load() != 0 {
		v.Status = balance.StatusCancelled
	}
	if how != EndFIN {
		v.ResetClient = true
		return v
	}
	v.CloseClient = true
	switch f.backendReader.LastKind {
	case protocol.KindBye:
		v.Status = balance.StatusOK
	case protocol.KindMove:
		v.Status = balance.StatusCancelled
	}
	return v
}

// Terminated is the event of the end that a verdict brings.
func (f *Session) Terminated(v Termination) Event {
	f.Ended()
	return Event{Kind: AttemptEnded, Result: balance.AttemptResult{ID: f.Seq, Attempt: f.attempt.number, Backend: f.attempt.Backend.ID,
		Status: v.Status, Closed: true}}
}

// Idle says that a look at the flow with Idle would find nothing until something
// more is heard of it.
func (f *Session) Idle() bool {
	return f.unansweredSince.Load() == 0 && f.clientEnd.Load() == 0 && !f.backendBlocked.Load()
}

// Timeout is how long the client waits for its answer.
func (f *Session) Timeout() time.Duration { return f.Open.Timeout }

// RetryAfter is when to come back to a relay that is full, where clients may be told.
func RetryAfter(s *settings.Settings) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(s.MaxRetryAfter, time.Second)
}
