package session

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
)

// Established reports whether UP has been or is being written to the client.
func (s *Session) Established() bool { return s.established.Load() }

// Migrate requests that the session end with MOVE at the next line boundary. The caller then wakes the goroutine that reads
// the backend. Any goroutine may call Migrate.
func (s *Session) Migrate() { s.migrating.Store(true) }

// FromClient processes all bytes of the client that are not forwarded yet and returns how many of them are whole lines,
// which are to be forwarded to the backend.
func (s *Session) FromClient(now time.Duration, b []byte) (int, error) {
	length, err := protocol.WholeLines(b)
	if length > 0 {
		s.unansweredSince.CompareAndSwap(0, int64(now))
	}
	return length, err
}

// FromBackend processes all bytes of the backend that are not forwarded yet and returns how many are to be forwarded to the
// client, and an event if a LOAD line is among them.
func (s *Session) FromBackend(b []byte) (length int, event Event, err error) {
	_, length, err = s.backendReader.Feed(b)
	if err != nil || length == 0 {
		return length, Event{}, err
	}
	s.unansweredSince.Store(0)
	if s.backendReader.Load > 0 {
		event = Event{Kind: LoadReported, Load: s.backendReader.Load}
	}
	return length, event, nil
}

// BackendBlocked records that the backend accepts no more lines. Part of one may have been written, so no more can follow.
// The caller then wakes the goroutine that reads the backend.
func (s *Session) BackendBlocked() { s.backendBlocked.Store(true) }

// CloseMode is how one side of a session is closed after the other has ended.
type CloseMode uint8

// The modes of closing.
const (
	CloseNone  CloseMode = iota // it stays open
	CloseFIN                    // the backend's side is closed in an orderly way
	CloseReset                  // both sides are reset
)

// ClientEnded records how the client's side ended and returns how the backend's side is to be closed: in the same way. Only
// the first end counts.
func (s *Session) ClientEnded(end EndKind) CloseMode {
	if !s.clientEnd.CompareAndSwap(int32(NoEnd), int32(end)) {
		return CloseNone
	}
	if end == EndFIN {
		return CloseFIN
	}
	return CloseReset
}

// Termination is how an established session ends.
type Termination struct {
	Status        balance.Status
	CloseClient   bool   // the client's side is closed in an orderly way, after LastLine
	LastLine      string // for the client; it may be empty
	ResetClient   bool   // the client's side is reset
	BackendSilent bool   // the backend has stopped responding
}

// silentBackendTermination is how a session ends whose backend has stopped responding: a host that has crashed or is cut off
// sends nothing, so only a time-out detects it.
var silentBackendTermination = Termination{Status: balance.StatusReset, CloseClient: true, LastLine: protocol.AnswerMove, BackendSilent: true}

// AtLineBoundary is to be called whenever no line is being forwarded: MOVE may be written only then. It returns how the
// session ends, and reports whether it does: because it is to migrate, or because the backend is blocked.
func (s *Session) AtLineBoundary() (Termination, bool) {
	if s.backendBlocked.Load() && !s.hasClientEnded() {
		return silentBackendTermination, true
	}
	return Termination{Status: balance.StatusCancelled, CloseClient: true, LastLine: protocol.AnswerMove}, s.migrating.Load()
}

// CheckIdle is to be called while the backend sends no whole line. It returns how the session ends, and reports whether it does.
func (s *Session) CheckIdle(now time.Duration) (Termination, bool) {
	if s.hasClientEnded() { // and the backend leaves its side open
		return s.clientTermination(), true
	}
	since := time.Duration(s.unansweredSince.Load())
	timedOut := since != 0 && now-since > BackendSilenceTimeout
	if s.backendBlocked.Load() || timedOut {
		return silentBackendTermination, true
	}
	return Termination{}, false
}

// Idle reports whether CheckIdle cannot end the session until the session's state changes.
func (s *Session) Idle() bool {
	return s.unansweredSince.Load() == 0 && !s.hasClientEnded() && !s.backendBlocked.Load()
}

// ClientBlocked records that the client accepts no more bytes: the session ends.
func (s *Session) ClientBlocked() (Termination, CloseMode) {
	mode := s.ClientEnded(EndReset)
	return s.clientTermination(), mode
}

func (s *Session) hasClientEnded() bool { return EndKind(s.clientEnd.Load()) != NoEnd }

// clientTermination returns how a session ends whose client has ended it.
func (s *Session) clientTermination() Termination {
	if EndKind(s.clientEnd.Load()) == EndFIN {
		return Termination{Status: balance.StatusOK}
	}
	return Termination{Status: balance.StatusCancelled}
}

// backendFailureStatus returns the status of a session that its backend ended or spoilt.
//
// A backend closes a connection on which it receives a line that it cannot parse. If a line of the client is still
// unanswered, the client may have caused the failure, so it does not count against the backend: otherwise one bad client
// could get it ejected and all other clients migrated off it. A backend that crashes resets its other sessions as well.
func (s *Session) backendFailureStatus() balance.Status {
	if s.unansweredSince.Load() != 0 {
		return balance.StatusCancelled
	}
	return balance.StatusReset
}

// BackendViolatedProtocol returns how a session ends whose backend has sent bytes that cannot be forwarded. The backend still
// runs, so the client is migrated: a reset would lose its connection.
func (s *Session) BackendViolatedProtocol() Termination {
	if s.hasClientEnded() {
		return s.clientTermination()
	}
	return Termination{Status: s.backendFailureStatus(), CloseClient: true, LastLine: protocol.AnswerMove}
}

// BackendEnded records how the backend's side ended; the client's side is to be closed in the same way.
func (s *Session) BackendEnded(end EndKind) Termination {
	if s.hasClientEnded() {
		return s.clientTermination()
	}
	termination := Termination{Status: s.backendFailureStatus()}
	if end != EndFIN {
		termination.ResetClient = true
		return termination
	}
	termination.CloseClient = true
	switch s.backendReader.LastKind {
	case protocol.KindBye:
		termination.Status = balance.StatusOK
	case protocol.KindMove:
		termination.Status = balance.StatusCancelled
	}
	return termination
}

// Terminated returns the event of the session's end.
func (s *Session) Terminated(termination Termination) Event {
	s.Ended()
	return Event{Kind: AttemptEnded, Result: balance.AttemptResult{ID: s.Seq, Attempt: s.attempt.number,
		Backend: s.attempt.Backend.ID, Status: termination.Status, Closed: true}}
}
