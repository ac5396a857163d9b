package session

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/golden"

	"aspenbarrow/balance"
	"aspenbarrow/internal/metrics"
	"aspenbarrow/internal/protocol"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// goldenStatuses are the names of the statuses of attempts in the golden file.
var goldenStatuses = map[balance.Status]string{balance.StatusOK: "ok", balance.StatusError: "error", balance.StatusOverloaded: "full", balance.StatusTimeout: "timeout",
	balance.StatusConnectFailed: "connect failed", balance.StatusReset: "reset", balance.StatusCancelled: "cancelled", balance.StatusAbandoned: "moot"}

func goldenRegistry() *metrics.Registry {
	registry := &metrics.Registry{}
	registry.SetClasses(goldenSettings.ClassNames)
	return registry
}

// goldenAttempt returns a session with a pending attempt.
func goldenAttempt(t *testing.T) (*Session, *Attempt) {
	t.Helper()
	s := New(7, goldenSettings, goldenRegistry())
	got, err := s.ReadHandshake(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=order,d=1500.5,new=x\r\n"), true)
	if err != nil || !got.Opened {
		t.Fatal(got, err)
	}
	backend := &upstream.Backend{ID: 9, Name: "s-9"}
	return s, s.Execute(0, Command{Backend: backend, Deadline: 1234567 * time.Microsecond}).Attempt
}

// The answers to clients, and how attempts and sessions end, are those of the golden file.
func TestSession_Golden(t *testing.T) {
	var out strings.Builder
	writeAnswers(&out)
	fmt.Fprintln(&out, "# a flow's last lines, by what the backend said first")
	writeBackendAnswers(t, &out)
	writeClientCloses(t, &out)
	writeAttemptErrors(t, &out)
	golden.Compare(t, "sessions.txt", out.String())
}

func writeAnswers(out *strings.Builder) {
	fmt.Fprintln(out, "# answers to clients")
	fmt.Fprintf(out, "failed %q\n", protocol.AnswerFailed)
	for _, d := range []time.Duration{-time.Second, 0, 1, time.Millisecond, time.Millisecond + 1, 250 * time.Millisecond, 1500 * time.Millisecond, time.Hour} {
		fmt.Fprintf(out, "busy for %v %q\n", d, protocol.BusyAnswer(d))
	}
	for _, current := range []settings.Settings{{}, {Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: 300 * time.Millisecond}},
		{Settings: balance.Settings{RetryAfter: true, MaxRetryAfter: time.Minute}}} {
		fmt.Fprintf(out, "held off, told %v, at most %v: %q\n", current.RetryAfter, current.MaxRetryAfter, protocol.BusyAnswer(RetryAfter(&current)))
	}
	for _, ready := range []bool{true, false} {
		for _, line := range []string{"PING\r\n", "STATS\r\n"} {
			got, err := New(1, goldenSettings, goldenRegistry()).ReadHandshake(0, []byte(line), ready)
			fmt.Fprintf(out, "%q, ready %v: %q, %d bytes, %v\n", line, ready, got.Reply, got.Consumed, err)
		}
	}
	s, pings := New(1, goldenSettings, goldenRegistry()), 0
	for {
		if _, err := s.ReadHandshake(0, []byte("PING\r\n"), true); err != nil {
			fmt.Fprintf(out, "after %d probes: %v\n", pings, err)
			break
		}
		pings++
	}
	_, err := New(1, goldenSettings, goldenRegistry()).ReadHandshake(0, []byte("OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1500\r\nhello\r\n"), true)
	fmt.Fprintf(out, "sent on: %v\n", err)
	endNames := map[EndKind]string{EndTimeout: "by time", EndFIN: "by FIN", EndReset: "by reset"}
	for _, tc := range []struct {
		end       EndKind
		bytesRead int
	}{{EndTimeout, 0}, {EndFIN, 0}, {EndFIN, 3}, {EndReset, 3}} {
		fmt.Fprintf(out, "ended %v with %d bytes: %v\n", endNames[tc.end], tc.bytesRead, s.HandshakeEnded(tc.end, tc.bytesRead))
	}
}

func writeBackendAnswers(t *testing.T, out *strings.Builder) {
	for _, line := range []string{"UP r\r\n", "BYE\r\n", "BUSY 20\r\n", "BUSY utilization=0.5,x0=1\r\n", "ERR\r\n", "MOVE\r\n", "SYNTAX\r\n", "WHAT\r\n", "UP\n"} {
		s, attempt := goldenAttempt(t)
		request, failure := attempt.Connected(0)
		if failure != nil {
			t.Fatal(failure)
		}
		length, failure := attempt.ReadAnswer([]byte(line))
		actions := s.AttemptDone(time.Millisecond, attempt, failure)
		outcome := "it stands"
		if failure != nil {
			outcome = failure.Error()
		}
		result := actions.Event.Result
		fmt.Fprintf(out, "%q sent, %q back: %d bytes, %s; %s, load %v, stand %v, answer %q\n", bytes.Join(request[:], nil), line, length, outcome,
			goldenStatuses[result.Status], result.Load, actions.Establish, actions.Answer)
	}
}

func writeClientCloses(t *testing.T, out *strings.Builder) {
	s, _ := goldenAttempt(t)
	fmt.Fprintf(out, "left %q\n", s.ClientClosed(false).Answer)
	s, _ = goldenAttempt(t)
	actions := s.ClientClosed(true)
	fmt.Fprintf(out, "sent on %q, %v\n", actions.Answer, actions.ClientError)
}

func writeAttemptErrors(t *testing.T, out *strings.Builder) {
	s, attempt := goldenAttempt(t)
	if _, failure := attempt.Connected(2 * time.Second); failure != nil {
		fmt.Fprintf(out, "too late: %v\n", failure)
	}
	attempt.Backend.SetState(1, balance.StateDraining)
	attempt.settings = &settings.Settings{}
	if _, failure := attempt.Connected(time.Second); failure != nil {
		fmt.Fprintf(out, "drained: %v\n", failure)
	}
	cause := errors.New("cause")
	for _, failure := range []*AttemptError{attempt.DialFailed(cause, false), attempt.ConnectionEnded(0, false, cause, false),
		attempt.ConnectionEnded(12, false, cause, false), attempt.ConnectionEnded(0, true, cause, true), attempt.ConnectionEnded(0, true, cause, false)} {
		fmt.Fprintf(out, "%v: %s\n", failure, goldenStatuses[failure.Status()])
	}
	for range 2 { // before and after the migration is requested
		termination, ended := s.AtLineBoundary()
		fmt.Fprintf(out, "to move %v: %q, %s\n", ended, termination.LastLine, goldenStatuses[termination.Status])
		s.Migrate()
	}
	s.BackendBlocked()
	termination, ended := s.CheckIdle(0)
	fmt.Fprintf(out, "silent %v: %q, %s\n", ended, termination.LastLine, goldenStatuses[termination.Status])
}
