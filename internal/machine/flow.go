// This file owns one client's connection from its first byte to its end, and the
// pair of it and its backend once it stands. It must never choose a backend,
// answer a request twice, put MOVE inside a line or hold up any flow but its own.
//
// Until a flow stands, its driver feeds it from one goroutine. From then on two
// may: one that reads the client, one that reads the backend; what both look at
// is atomic.

package machine

import (
	"bytes"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// Figures of a flow's life.
const (
	Glance     = 250 * time.Millisecond // how often a quiet flow looks whether it has gone silent
	Silence    = 4 * time.Second        // a line without any answer for this long: the backend is dead or cut off
	Farewell   = time.Second            // the client's end is waited for so long after ours
	SlowReader = 30 * time.Second       // a client that takes nothing for this long is gone
	standing   = 38 * time.Second       // a connection from before this start is brought up within this
)

// End is how one side of a connection ended.
type End int32

// The ends.
const (
	NoEnd   End = iota
	ByFIN       // an orderly end
	ByReset     // broken off, or a connection that cannot be used any more
	ByTime      // nothing came in the time that there was
)

// AnswerFailed is the final answer of a request that failed.
const AnswerFailed = "ERR\r\n"

const (
	lineMove  = "MOVE\r\n"
	mostPings = 16 // before an OPEN: as many as fit into any socket's buffer, read or not
)

// What can be wrong with a connection that has not said a whole OPEN, beside its lines.
var (
	errUnsaid   = errors.New("no whole line in time")
	errCutShort = errors.New("ended within a line")
	errPings    = errors.New("too many probes")
	errStanding = errors.New("at a backend, but not from before the start")
	errEager    = errors.New("sent on before its answer")
	errUpLate   = errors.New("UP came after the final answer")
)

// Flow is one client's connection.
type Flow struct {
	Seq  uint64
	Open Open
	Came time.Duration // when its OPEN was whole, or was sent if that may have been longer ago
	set  *settings.Settings
	book *Ledger

	entered time.Duration // when it was taken out of the accept queue
	queued  time.Duration // how long it may have been there
	probed  int
	over    bool // the final answer is out, or the client is gone
	pending bool // an attempt is out
	tries   int
	at      *Attempt // the one that stands
	down    backendLines

	stands atomic.Bool
	moving atomic.Bool
	stuck  atomic.Bool  // the backend took no more of the client's lines
	asked  atomic.Int64 // when the oldest line without an answer went to the backend; 0: none
	ended  atomic.Int32 // how the client ended
	taken  atomic.Bool  // counted among those that have not ended
}

// NewFlow is a connection that has just been accepted.
func NewFlow(seq uint64, set *settings.Settings, book *Ledger) *Flow {
	return &Flow{Seq: seq, set: set, book: book}
}

// Entered says when the connection was taken out of the accept queue and how long it may have been there. What lay there
// with it was sent before: its client's patience counts from then, and no clock of the relay's own has seen it come.
func (f *Flow) Entered(g *Guest) { f.entered, f.queued = g.came, g.queued }

// Under has a connection that has not said its OPEN yet come under other settings. From then on they stay its own.
func (f *Flow) Under(set *settings.Settings) { f.set = set }

// Taken counts a connection whose OPEN is whole and that has its place.
func (f *Flow) Taken() {
	f.taken.Store(true)
	f.book.concurrent.Add(1)
}

// TurnedAway counts one that has none: the relay is near a limit.
func (f *Flow) TurnedAway() { f.tally().overload.Add(1) }

// Gone counts the end of one that was taken. It may be called again.
func (f *Flow) Gone() {
	if f.taken.CompareAndSwap(true, false) {
		f.book.concurrent.Add(-1)
	}
}

func (f *Flow) tally() *tally { return f.book.of(f.Open.Request.Class) }

// EventKind says what a Node hears of a flow.
type EventKind uint8

// The kinds of event.
const (
	Nothing      EventKind = iota
	ClientLeft             // before its final answer
	AttemptEnded           // an attempt, or what stood
	Stood
	Told // the backend sent a LOAD line
)

// Event is what a Node is to hear of a flow.
type Event struct {
	Kind    EventKind
	Outcome balance.AttemptResult
	Load    float64 // as the LOAD line gave it: Node.note knows what it measures
}

// Greeting is what the first bytes of a client ask for.
type Greeting struct {
	Take   int    // so many bytes are done with
	Reply  string // to be written
	Opened bool   // OPEN is whole; its bytes stay where they are until the flow stands
}

// Hello takes in all bytes that a client has sent so far and that are not taken
// yet; ready says whether this relay may be used.
func (f *Flow) Hello(now time.Duration, b []byte, ready bool) (g Greeting, err error) {
	m := clientLines{names: f.set}
	ev, n, err := m.feed(b)
	if err != nil {
		return g, err
	}
	switch ev {
	case pinged:
		if f.probed++; f.probed > mostPings {
			return g, errPings
		}
		g.Take, g.Reply = n, "ERR\r\n"
		if ready {
			g.Reply = "PONG\r\n"
		}
	case opened:
		if len(b) > n { // a client waits for its answer: what comes with OPEN is meant for a backend's parser
			return g, errEager
		}
		f.Open, f.Came, g.Opened = m.open, now, true
		if now-f.entered < hearing { // else it was sent after the connection was taken in
			f.Came -= f.queued
		}
		if f.probed > 0 { // the buffer may slide under a head that is not its first line
			f.Open, err = parseOpen(bytes.Clone(f.Open.line), f.set)
		}
	}
	return g, err
}

// HelloEnded says what was wrong with an end before any OPEN, of which so many
// bytes were there; nil: it left as anybody may.
func (f *Flow) HelloEnded(how End, seen int) error {
	switch {
	case how == ByTime:
		return errUnsaid
	case how == ByFIN && seen > 0:
		return errCutShort
	}
	return nil
}

// Order is what a Node tells a flow whose request is open.
type Order struct {
	To     *Backend // send, or resume a connection that it holds
	Until  time.Duration
	Resume bool
	Dial   time.Duration // how long the connection may take to come up; 0: the settings' time
	Cancel bool
	Answer string // the final answer
}

// Do is what the driver is to do, in this order.
type Do struct {
	Cancel   bool     // break the attempt off that is out; its end is still fed
	DropBack bool     // close the backend's connection
	Bad      error    // the client's fault, to be logged
	Answer   string   // the client's last line; our side ends after it
	Try      *Attempt // to be begun
	Stand    bool     // UP goes on to the client, and the flow stands
	Event    Event    // for the Node
}

// Waits says whether the flow is still to be fed orders and attempts' ends. Only
// one answer comes of them: of a refusal and an UP that race one wins.
func (f *Flow) Waits() bool { return !f.over || f.pending }

// Order takes in an order of the Node.
func (f *Flow) Order(now time.Duration, o Order) (do Do) {
	switch {
	case o.Answer != "" && !f.over:
		f.over = true
		do.Cancel, do.Answer = true, o.Answer
		if o.Answer == AnswerFailed {
			f.tally().wrong.Add(1)
		} else {
			f.tally().overload.Add(1)
		}
		f.Gone()
	case o.Cancel:
		do.Cancel = true
	case o.To != nil && !f.over && !f.pending:
		f.pending = true
		do.Try = &Attempt{To: o.To, Until: o.Until, Dial: f.set.DialTimeout, Begun: now, resume: o.Resume,
			number: f.tries, open: &f.Open, set: f.set, book: f.book}
		if o.Dial > 0 {
			do.Try.Dial = o.Dial
		}
		if o.Resume {
			do.Try.Dial = resumeDial
		}
		f.tries++
	}
	return do
}

// Left hears that the client ended or, with spoke set, went on before its answer.
func (f *Flow) Left(spoke bool) (do Do) {
	if f.over {
		return do
	}
	f.over = true
	do.Cancel = true
	f.Gone()
	if spoke {
		do.Bad, do.Answer = errEager, AnswerFailed
		f.tally().wrong.Add(1)
	}
	do.Event.Kind = ClientLeft
	return do
}

// Tried hears the end of an attempt; without a failure it is UP.
func (f *Flow) Tried(now time.Duration, a *Attempt, fail *AttemptError) (do Do) {
	f.pending = false
	switch {
	case fail == nil && !f.over:
		f.over, f.at = true, a
		f.tally().success.Add(1)
		f.down = backendLines{began: true}
		f.stands.Store(true) // before UP is out: the client's next line may be here as soon as it is
		do.Stand = true
		do.Event = Event{Kind: Stood, Outcome: balance.AttemptResult{ID: f.Seq, Attempt: a.number, Backend: a.To.ID,
			Latency: now - a.Begun}}
		return do
	case fail == nil: // the connection is given back unserved
		do.DropBack = true
		fail = &AttemptError{stage: waited, stopped: true, err: errUpLate}
	case fail.answer == bye && !f.over: // served to its end before it stood
		f.over = true
		do.Answer = "BYE\r\n"
		f.tally().wrong.Add(1) // no connection came of it
		f.Gone()
	}
	o := balance.AttemptResult{ID: f.Seq, Attempt: a.number, Backend: a.To.ID, Status: fail.status(), Latency: now - a.Begun,
		Closed: f.over, Load: fail.report}
	if do.Answer != "" {
		o.Closed = true
	}
	if f.Open.Request.MidStream && o.Status == balance.StatusReset {
		// Any backend but the one that holds it resets such a connection: it works as it should, and
		// to eject it would take one sound backend after another out when a relay has gone.
		o.Status = balance.StatusCancelled
	}
	do.Event = Event{Kind: AttemptEnded, Outcome: o}
	return do
}

// Odd says whether a failure was an answer that the protocol does not know.
func (e *AttemptError) Odd() bool { return e.answer == odd || e.answer == unread }

// --- once it stands --------------------------------------------------------------

// Stands says whether UP has gone or is going to the client.
func (f *Flow) Stands() bool { return f.stands.Load() }

// Move is called by the Node's driver: the client shall leave at the next line's
// end. The driver then wakes whoever reads the backend.
func (f *Flow) Move() { f.moving.Store(true) }

// FromClient takes in all bytes of the client that are not taken yet and says how
// many are whole lines, which go to the backend.
func (f *Flow) FromClient(now time.Duration, b []byte) (int, error) {
	n, err := wholeLines(b)
	if n > 0 {
		f.asked.CompareAndSwap(0, int64(now))
	}
	return n, err
}

// BackendStuck hears that the backend takes no lines: part of one may be out, so
// no more can follow. Whoever reads the backend is to be woken.
func (f *Flow) BackendStuck() { f.stuck.Store(true) }

// Hang is what is to be done to a side whose other side ended.
type Hang uint8

// The ways to hang up.
const (
	HangNot   Hang = iota
	HangFIN        // end the backend's side
	HangReset      // break both off
)

// ClientEnded hears the client's end; the backend's side ends in the same way.
func (f *Flow) ClientEnded(how End) Hang {
	if !f.ended.CompareAndSwap(0, int32(how)) {
		return HangNot
	}
	if how == ByFIN {
		return HangFIN
	}
	return HangReset
}

// FromBackend takes in all bytes of the backend that are not taken yet and says how
// many go to the client; the event may carry a note.
func (f *Flow) FromBackend(b []byte) (n int, ev Event, err error) {
	_, n, err = f.down.feed(b)
	if err == nil && n > 0 {
		f.asked.Store(0)
		if f.down.load > 0 {
			ev = Event{Kind: Told, Load: f.down.load}
		}
	}
	return n, ev, err
}

// Verdict is how a flow that stood ends.
type Verdict struct {
	Status balance.Status
	Client bool   // the client's side ends with Last
	Last   string // its last line, perhaps none
	Reset  bool   // the client's side is broken off
	Silent bool   // the backend said nothing any more
}

// Between is asked whenever no line is under way: only there may MOVE go out.
func (f *Flow) Between() (Verdict, bool) {
	return Verdict{Status: balance.StatusCancelled, Client: true, Last: lineMove}, f.moving.Load()
}

// Idle hears that nothing came from the backend for a while.
func (f *Flow) Idle(now time.Duration) (Verdict, bool) {
	asked := time.Duration(f.asked.Load())
	switch {
	case f.ended.Load() != 0: // ended by the client, and the backend leaves its end open
		return f.closedByClient(), true
	case f.stuck.Load() || asked != 0 && now-asked > Silence:
		// The machine has vanished or is cut off: nothing but a time-out tells.
		return Verdict{Status: balance.StatusReset, Client: true, Last: lineMove, Silent: true}, true
	}
	return Verdict{}, false
}

// ClientDeaf hears that the client takes nothing any more.
func (f *Flow) ClientDeaf() (Verdict, Hang) {
	hang := f.ClientEnded(ByReset)
	return f.closedByClient(), hang
}

func (f *Flow) closedByClient() Verdict {
	if End(f.ended.Load()) == ByFIN {
		return Verdict{Status: balance.StatusOK}
	}
	return Verdict{Status: balance.StatusCancelled}
}

// BackendEnded ends the client's side in the way that the backend ended its own.
// A backend closes on what it cannot read. Where something of the client's is
// still unanswered the end may be of its own making and says nothing of the
// backend: one bad client could have it ejected and all others moved off it.
// A backend that dies resets its other connections as well.
func (f *Flow) BackendEnded(how End) Verdict {
	if f.ended.Load() != 0 {
		return f.closedByClient()
	}
	v := Verdict{Status: balance.StatusReset}
	if f.asked.Load() != 0 {
		v.Status = balance.StatusCancelled
	}
	if how != ByFIN {
		v.Reset = true
		return v
	}
	v.Client = true
	switch f.down.last {
	case bye:
		v.Status = balance.StatusOK
	case moved:
		v.Status = balance.StatusCancelled
	}
	return v
}

// Closed is the event of the end that a verdict brings.
func (f *Flow) Closed(v Verdict) Event {
	f.Gone()
	return Event{Kind: AttemptEnded, Outcome: balance.AttemptResult{ID: f.Seq, Attempt: f.at.number, Backend: f.at.To.ID,
		Status: v.Status, Closed: true}}
}

// BusyAnswer is the refusal line; a hold-off is rounded up to milliseconds.
func BusyAnswer(after time.Duration) string {
	if after <= 0 {
		return "BUSY\r\n"
	}
	return "BUSY " + strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10) + "\r\n"
}

// Quiet says that a look at the flow with Idle would find nothing until something
// more is heard of it.
func (f *Flow) Quiet() bool { return f.asked.Load() == 0 && f.ended.Load() == 0 && !f.stuck.Load() }

// Patience is how long the client waits for its answer.
func (f *Flow) Patience() time.Duration { return f.Open.patience }
