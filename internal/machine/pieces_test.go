package machine

import (
	"testing"
	"time"

	"aspenbarrow/balance"
)

// An OPEN line that comes in two pieces, cut at any byte, is the request that it is in one, and half of it is none.
func TestAnOpenCutAtAnyByteIsOneRequest(t *testing.T) {
	n, _ := node(t, testConfig())
	const line = "PING\r\nOPEN 00000000000000aa 00000000000000bb c=chat,d=900,g=00000000000000cc\r\n"
	for i := range len(line) {
		f := NewFlow(1, n.Settings(), n.Ledger())
		var said []byte
		replies, opened := "", false
		for _, piece := range []string{line[:i], line[i:]} {
			said = append(said, piece...)
			for len(said) > 0 && !opened {
				g, err := f.Hello(time.Second, said, true)
				if err != nil {
					t.Fatalf("cut after %d: %v", i, err)
				}
				replies += g.Reply
				if opened = g.Opened; g.Take == 0 {
					break
				}
				said = said[g.Take:]
			}
		}
		if !opened || replies != "PONG\r\n" || f.Open.id != 0xaa || f.Open.Request.Key != 0xbb || f.Open.patience != 900*time.Millisecond {
			t.Errorf("cut after %d: opened %v, replies %q, %+v", i, opened, replies, f.Open)
		}
	}
}

// What a backend says may be cut at any two bytes, in UP, in LOAD and in MOVE: every byte is passed on once and in
// order, each LOAD is heard once, and the end is known for what it is. What a client says loses no byte either.
func TestLinesCutAtAnyTwoBytesLoseNothing(t *testing.T) {
	n, h := node(t, testConfig())
	const line = "UP r1\r\nR 1\r\nLOAD 5.5\r\nR 2\r\nLOAD 7\r\nMOVE\r\n"
	up := len("UP r1\r\n")
	seq := uint64(0)
	for i := range len(line) {
		for j := i; j < len(line); j++ {
			seq++
			f := greeted(t, n, seq, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
			do := f.Order(time.Second, Order{To: n.Backends()[0], Until: 2 * time.Second})
			if _, fail := do.Try.Dialled(time.Second); fail != nil {
				t.Fatal(fail)
			}
			var have []byte
			passed, told, stands := "", []float64{}, false
			for _, piece := range []string{line[:i], line[i:j], line[j:]} {
				if have = append(have, piece...); !stands {
					k, fail := do.Try.Answer(have)
					if fail != nil {
						t.Fatalf("cut after %d and %d: %v", i, j, fail)
					}
					if k == 0 {
						continue
					}
					stands = f.Tried(time.Second, do.Try, nil).Stand
					passed, have = string(have[:k]), have[k:]
				}
				if len(have) == 0 {
					continue
				}
				k, ev, err := f.FromBackend(have)
				if err != nil {
					t.Fatalf("cut after %d and %d: %v", i, j, err)
				}
				if ev.Kind == Told {
					told = append(told, ev.Load)
				}
				passed, have = passed+string(have[:k]), have[k:]
			}
			end := f.BackendEnded(ByFIN)
			if passed != line || len(have) > 0 || !stands || end.Status != balance.StatusCancelled || len(told) == 0 || told[len(told)-1] != 7 || len(told) > 2 {
				t.Errorf("cut after %d and %d: passed %q, left %q, told %v, ended %+v", i, j, passed, have, told, end)
			}
		}
	}
	f := greeted(t, n, seq+1, "OPEN 00000000000000aa 00000000000000bb c=chat,d=900\r\n")
	for i := range up {
		k, err := f.FromClient(time.Second, []byte(line[:i]))
		rest, err2 := f.FromClient(time.Second, []byte(line[k:up]))
		if err != nil || err2 != nil || k != 0 || rest != up {
			t.Errorf("a client's line cut after %d: %d and %d bytes, %v, %v", i, k, rest, err, err2)
		}
	}
	if len(h.bad) > 0 {
		t.Error(h.bad)
	}
}
