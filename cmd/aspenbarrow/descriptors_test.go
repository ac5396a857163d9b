package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/standin"
)

// silence is an agent of discovery that takes calls and answers none, until it is back.
type silence struct {
	t    *testing.T
	addr string
	l    net.Listener
	back *standin.Discovery
}

func newSilence(t *testing.T) *silence {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silence{t: t, addr: l.Addr().String(), l: l}
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// returns has it speak again, with a list; calls that were taken before stay without an answer.
func (s *silence) returns(list ...standin.Entry) {
	s.t.Helper()
	_ = s.l.Close()
	s.back = &standin.Discovery{}
	if err := s.back.Listen(s.addr, list...); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.back.Close)
	s.back.SetVersion(1000)
}

// held is how many descriptors the program has.
func (p *program) descriptors() int {
	p.t.Helper()
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(fds)
}

// Clients that say nothing fill the descriptors while discovery is down, and others ask. The system holds the program to its
// limit. Nobody who sends a whole OPEN is without an answer, discovery's return is heard within 6 s, no accept fails, and
// SIGTERM and a smaller limit find it as usual.
func TestIdleClientsMayFillTheDescriptorsWhileDiscoveryIsDown(t *testing.T) {
	id := 0
	for _, limit := range []int{64, 256, 1024} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d descriptors, a list %v", limit, known), func(t *testing.T) {
				one, two := &standin.Backend{}, &standin.Backend{}
				unused, list := backends(t, one, two)
				unused.Close()
				d := newSilence(t)
				s := setup{discovery: d.addr, sockets: limit, memory: 64}
				if known { // of one of the two; discovery will say that it is the other
					s.known = list[:1]
				}
				p := start(t, s)
				if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil); err != nil {
					t.Fatal(err)
				}
				for range 3 * limit {
					p.dial()
				}
				asks := func() *client {
					id++
					c := p.dial()
					c.say(fmt.Sprintf("OPEN %016x %016x c=chat,d=20000", 1<<20+id, id))
					return c
				}
				var asked []*client
				for range limit {
					asked = append(asked, asks())
				}
				for range limit {
					p.dial()
				}
				if n := p.descriptors(); n > limit {
					t.Errorf("%d descriptors of %d", n, limit)
				}
				back := time.Now()
				d.returns(list[1])
				if known {
					for len(two.Opens()) == 0 {
						c := asks()
						if got, err := c.in.ReadString('\n'); err != nil {
							t.Fatalf("an OPEN is without an answer: %q, %v", got, err)
						}
						_ = c.Close()
						if time.Since(back) > patience {
							t.Fatal("discovery's return is not heard of")
						}
					}
				}
				ups, busy := 0, 0
				for i, c := range asked {
					got, err := c.in.ReadString('\n')
					switch {
					case err != nil:
						t.Fatalf("OPEN %d of %d is without an answer: %q, %v", i, limit, got, err)
					case strings.HasPrefix(got, "UP"):
						ups++
					case strings.HasPrefix(got, "BUSY"):
						busy++
					default:
						t.Errorf("heard %q", got)
					}
				}
				if took := time.Since(back); took > 6*time.Second {
					t.Errorf("discovery's return was heard of after %v", took)
				}
				if ups < limit/8 || ups+busy != limit {
					t.Errorf("%d up, %d busy of %d", ups, busy, limit)
				}
				if n := p.descriptors(); n > limit {
					t.Errorf("%d descriptors of %d", n, limit)
				}
				s.sockets = limit / 2
				p.reload(s)
				p.logs("configuration read again", 1)
				for range limit {
					p.dial()
				}
				c := asks()
				if got, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(got, "UP") && !strings.HasPrefix(got, "BUSY") {
					t.Errorf("with half of the limit: heard %q, %v", got, err)
				}
				if err := p.cmd.Process.Signal(unix.SIGTERM); err != nil {
					t.Fatal(err)
				}
				last := asks()
				if got, err := last.in.ReadString('\n'); err != nil || !strings.HasPrefix(got, "UP") && !strings.HasPrefix(got, "BUSY") {
					t.Errorf("after SIGTERM: heard %q, %v", got, err)
				}
				if err := p.ended(); err != nil {
					t.Errorf("ended with %v", err)
				}
				if strings.Contains(p.log.String(), `"msg":"accept"`) || strings.Contains(p.log.String(), "too many open files") {
					t.Error("descriptors ran out")
				}
			})
		}
	}
}
