package session

import (
	"testing"
	"time"

	"aspenbarrow/balance"
)

// An OPEN line that comes in two pieces, cut at any byte, is the request that it is in one, and half of it is none.
func TestAnOpenCutAtAnyByteIsOneRequest(t *testing.T) {
	const line = "PING\r\nOPEN 00000000000000aa 00000000000000bb c=chat,d=900,g=00000000000000cc\r\n"
	for i := range len(line) {
		f := newTestSession(1)
		var said []byte
		replies, opened := "", false
		for _, piece := range []string{line[:i], line[i:]} {
			said = append(said, piece...)
			for len(said) > 0 && !opened {
				g, err := f.ReadHandshake(time.Second, said, true)
				if err != nil {
					t.Fatalf("cut after %d: %v", i, err)
				}
				replies += g.Reply
				if opened = g.Opened; g.Consumed == 0 {
					break
				}
				said = said[g.Consumed:]
			}
		}
		if !opened || replies != "PONG\r\n" || f.Open.ID != 0xaa || f.Open.Request.Key != 0xbb || f.Open.Timeout != 900*time.Millisecond {
			t.Errorf("cut after %d: opened %v, replies %q, %+v", i, opened, replies, f.Open)
		}
	}
}

// What a backend says may be cut at any two bytes, in UP, in LOAD and in MOVE: every byte is passed on once and in
// order, each LOAD is heard once, and the end is known for what it is. What a client says loses no byte either.
func TestLinesCutAtAnyTwoBytesLoseNothing(t *testing.T) {
	const line = "UP r1\r\nR 1\r\nLOAD 5.5\r\nR 2\r\nLOAD 7\r\nMOVE\r\n"
	up := len("UP r1\r\n")
	seq := uint64(0)
	for i := range len(line) {
		for j := i; j < len(line); j++ {
			seq++
			f := openSession(t, seq, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
			do := f.Execute(time.Second, Command{Backend: testBackends()[0], Deadline: 2 * time.Second})
			if do.ClientError != nil {
				t.Error(do.ClientError)
			}
			if _, fail := do.Attempt.Connected(time.Second); fail != nil {
				t.Fatal(fail)
			}
			var have []byte
			passed, told, stands := "", []float64{}, false
			for _, piece := range []string{line[:i], line[i:j], line[j:]} {
				if have = append(have, piece...); !stands {
					k, fail := do.Attempt.ReadAnswer(have)
					if fail != nil {
						t.Fatalf("cut after %d and %d: %v", i, j, fail)
					}
					if k == 0 {
						continue
					}
					stands = f.AttemptDone(time.Second, do.Attempt, nil).Establish
					passed, have = string(have[:k]), have[k:]
				}
				if len(have) == 0 {
					continue
				}
				k, ev, err := f.FromBackend(have)
				if err != nil {
					t.Fatalf("cut after %d and %d: %v", i, j, err)
				}
				if ev.Kind == LoadReported {
					told = append(told, ev.Load)
				}
				passed, have = passed+string(have[:k]), have[k:]
			}
			end := f.BackendEnded(EndFIN)
			if passed != line || len(have) > 0 || !stands || end.Status != balance.StatusCancelled || len(told) == 0 || told[len(told)-1] != 7 || len(told) > 2 {
				t.Errorf("cut after %d and %d: passed %q, left %q, told %v, ended %+v", i, j, passed, have, told, end)
			}
		}
	}
	f := openSession(t, seq+1, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
	for i := range up {
		k, err := f.FromClient(time.Second, []byte(line[:i]))
		rest, err2 := f.FromClient(time.Second, []byte(line[k:up]))
		if err != nil || err2 != nil || k != 0 || rest != up {
			t.Errorf("a client's line cut after %d: %d and %d bytes, %v, %v", i, k, rest, err, err2)
		}
	}
}
