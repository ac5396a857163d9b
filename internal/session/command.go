package session

import (
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// resumeDialTimeout is the time limit of a dial that resumes a session.
const resumeDialTimeout = 5 * time.Second

// maxRetryAfter is the longest delay that a full relay sends to a client.
const maxRetryAfter = time.Second

// RetryAfter returns the delay after which a client may retry at a full relay; 0: the settings don't allow one to be sent.
func RetryAfter(s *settings.Settings) time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return min(s.MaxRetryAfter, maxRetryAfter)
}

// Command is an instruction of the controller to a session whose OPEN line has been read: to make an attempt, to cancel the
// pending one, or to give the final answer.
type Command struct {
	Backend     *upstream.Backend // of the attempt; nil: none is to be made
	Deadline    time.Duration     // of the attempt, on the relay's clock
	Resume      bool              // the backend already holds the connection
	DialTimeout time.Duration     // 0: that of the settings
	Cancel      bool
	Answer      string // the final answer; empty: none
}

// Actions is what the caller has to do, in the order of the fields.
type Actions struct {
	CancelAttempt bool     // the pending one; its end must still be reported
	CloseBackend  bool     // the backend's connection
	ClientError   error    // the client's protocol error, to be logged
	Answer        string   // the client's last line; the relay closes its side of the connection after it
	Attempt       *Attempt // to be started
	Establish     bool     // UP is forwarded to the client, and the session is established
	Event         Event    // for the controller
}

// AwaitsCommands reports whether the session still expects commands and ends of attempts. They result in one final answer
// only: if a refusal and an UP race, the first one that the session processes counts.
func (s *Session) AwaitsCommands() bool { return !s.answered || s.attemptPending }

// Execute processes a command of the controller.
func (s *Session) Execute(now time.Duration, command Command) Actions {
	switch {
	case command.Answer != "" && !s.answered:
		return s.answer(command.Answer)
	case command.Cancel:
		return Actions{CancelAttempt: true}
	case command.Backend != nil && !s.answered && !s.attemptPending:
		return Actions{Attempt: s.newAttempt(now, command)}
	}
	return Actions{}
}

func (s *Session) answer(line string) Actions {
	s.answered = true
	if line == protocol.AnswerFailed {
		s.classCounters().Failed.Add(1)
	} else {
		s.classCounters().Overload.Add(1)
	}
	s.Ended()
	return Actions{CancelAttempt: true, Answer: line}
}

func (s *Session) newAttempt(now time.Duration, command Command) *Attempt {
	dialTimeout := s.settings.DialTimeout
	switch {
	case command.Resume:
		dialTimeout = resumeDialTimeout
	case command.DialTimeout > 0:
		dialTimeout = command.DialTimeout
	}
	attempt := &Attempt{
		Backend:     command.Backend,
		Deadline:    command.Deadline,
		DialTimeout: dialTimeout,
		StartedAt:   now,
		resume:      command.Resume,
		number:      s.attempts,
		open:        &s.Open,
		settings:    s.settings,
		metrics:     s.metrics,
	}
	s.attemptPending = true
	s.attempts++
	return attempt
}

// ClientClosed records that the client has disconnected before its answer or, if sentMore is set, has sent more data before it.
func (s *Session) ClientClosed(sentMore bool) Actions {
	if s.answered {
		return Actions{}
	}
	s.answered = true
	s.Ended()
	actions := Actions{CancelAttempt: true, Event: Event{Kind: ClientLeft}}
	if sentMore {
		actions.ClientError, actions.Answer = ErrDataBeforeAnswer, protocol.AnswerFailed
		s.classCounters().Failed.Add(1)
	}
	return actions
}

// AttemptDone records the end of an attempt; without a failure the backend has answered UP.
func (s *Session) AttemptDone(now time.Duration, attempt *Attempt, failure *AttemptError) (actions Actions) {
	s.attemptPending = false
	switch {
	case failure == nil && !s.answered:
		return s.establish(now, attempt)
	case failure == nil: // the backend's connection is closed unused
		actions.CloseBackend = true
		failure = &AttemptError{stage: stageSent, abandoned: true, err: ErrLateUp}
	case failure.answer == protocol.KindBye && !s.answered: // the backend ended the session before it was established
		s.answered = true
		actions.Answer = protocol.AnswerBye
		s.classCounters().Failed.Add(1) // no session was established
		s.Ended()
	}
	result := s.attemptResult(now, attempt)
	result.Status, result.Load, result.Closed = failure.Status(), failure.load, s.answered
	if s.Open.Request.MidStream && result.Status == balance.StatusReset {
		// Every backend but the one that holds such a connection resets it. That is correct behaviour: ejecting backends
		// for it would take one healthy backend after another out of use when a relay has gone down.
		result.Status = balance.StatusCancelled
	}
	actions.Event = Event{Kind: AttemptEnded, Result: result}
	return actions
}

func (s *Session) establish(now time.Duration, attempt *Attempt) Actions {
	s.answered, s.attempt = true, attempt
	s.classCounters().Success.Add(1)
	s.backendReader = protocol.BackendReader{Established: true}
	s.established.Store(true) // before UP is written: the client's next line may follow it immediately
	return Actions{Establish: true, Event: Event{Kind: Established, Result: s.attemptResult(now, attempt)}}
}

func (s *Session) attemptResult(now time.Duration, attempt *Attempt) balance.AttemptResult {
	return balance.AttemptResult{ID: s.Seq, Attempt: attempt.number, Backend: attempt.Backend.ID, Latency: now - attempt.StartedAt}
}
