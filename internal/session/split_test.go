package session

import (
	"testing"
	"time"

	"aspenbarrow/balance"
)

// An OPEN line that arrives in two pieces, split at any byte, is parsed as if it had arrived in one.
func TestSession_HandshakeSplitAtAnyByte(t *testing.T) {
	const line = "PING\r\nOPEN 00000000000000aa 00000000000000bb c=chat,d=900,g=00000000000000cc\r\n"
	for i := range len(line) {
		s := newTestSession(1)
		var unread []byte
		replies, opened := "", false
		for _, piece := range []string{line[:i], line[i:]} {
			unread = append(unread, piece...)
			for len(unread) > 0 && !opened {
				got, err := s.ReadHandshake(time.Second, unread, true)
				if err != nil {
					t.Fatalf("split after %d: %v", i, err)
				}
				replies += got.Reply
				if opened = got.Opened; got.Consumed == 0 {
					break
				}
				unread = unread[got.Consumed:]
			}
		}
		if !opened || replies != "PONG\r\n" || s.Open.ID != 0xaa || s.Open.Request.Key != 0xbb || s.Open.Timeout != 900*time.Millisecond {
			t.Errorf("split after %d: opened %v, replies %q, %+v", i, opened, replies, s.Open)
		}
	}
}

// A backend's bytes may be split at any two places, in UP, in LOAD and in MOVE: every byte is forwarded once and in order,
// no LOAD is reported twice, and the end is recognized as that of a migrated session.
func TestSession_BackendLinesSplitAtAnyTwoBytes(t *testing.T) {
	const lines = "UP r1\r\nR 1\r\nLOAD 5.5\r\nR 2\r\nLOAD 7\r\nMOVE\r\n"
	for i := range len(lines) {
		for j := i; j < len(lines); j++ {
			s, forwarded, loads, unread := playPieces(t, lines[:i], lines[i:j], lines[j:])
			end := s.BackendEnded(EndFIN)
			if forwarded != lines || unread > 0 || !s.Established() {
				t.Errorf("split after %d and %d: forwarded %q, %d bytes left, established %v", i, j, forwarded, unread, s.Established())
			}
			if end.Status != balance.StatusCancelled || len(loads) == 0 || loads[len(loads)-1] != 7 || len(loads) > 2 {
				t.Errorf("split after %d and %d: loads %v, ended %+v", i, j, loads, end)
			}
		}
	}
}

// playPieces passes what a backend sends to a session, piece by piece.
func playPieces(t *testing.T, pieces ...string) (s *Session, forwarded string, loads []float64, unread int) {
	t.Helper()
	s = openSession(t, 1, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
	actions := s.Execute(time.Second, Command{Backend: testBackends()[0], Deadline: 2 * time.Second})
	if actions.ClientError != nil {
		t.Error(actions.ClientError)
	}
	if _, failure := actions.Attempt.Connected(time.Second); failure != nil {
		t.Fatal(failure)
	}
	var buffer []byte
	for _, piece := range pieces {
		buffer = append(buffer, piece...)
		if !s.Established() {
			length, failure := actions.Attempt.ReadAnswer(buffer)
			if failure != nil {
				t.Fatalf("pieces %q: %v", pieces, failure)
			}
			if length == 0 {
				continue
			}
			if !s.AttemptDone(time.Second, actions.Attempt, nil).Establish {
				t.Fatalf("pieces %q: not established", pieces)
			}
			forwarded, buffer = string(buffer[:length]), buffer[length:]
		}
		if len(buffer) == 0 {
			continue
		}
		length, event, err := s.FromBackend(buffer)
		if err != nil {
			t.Fatalf("pieces %q: %v", pieces, err)
		}
		if event.Kind == LoadReported {
			loads = append(loads, event.Load)
		}
		forwarded, buffer = forwarded+string(buffer[:length]), buffer[length:]
	}
	return s, forwarded, loads, len(buffer)
}

func TestSession_ClientLineSplitAtAnyByte(t *testing.T) {
	const line = "UP r1\r\n"
	s := openSession(t, 1, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
	for i := range len(line) {
		length, err := s.FromClient(time.Second, []byte(line[:i]))
		rest, restErr := s.FromClient(time.Second, []byte(line[length:]))
		if err != nil || restErr != nil || length != 0 || rest != len(line) {
			t.Errorf("split after %d: %d and %d bytes, %v, %v", i, length, rest, err, restErr)
		}
	}
}
