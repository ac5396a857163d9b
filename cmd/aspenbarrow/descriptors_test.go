package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/fake"
)

// silence is an agent of discovery that takes calls and answers none, until it is back.
type silentDiscovery struct {
	t        *testing.T
	address  string
	listener net.Listener
	resumed  *fake.Discovery
}

func newSilentDiscovery(t *testing.T) *silentDiscovery {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &silentDiscovery{t: t, address: l.Addr().String(), listener: l}
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// returns has it speak again, with a list; calls that were taken before stay without an answer.
func (s *silentDiscovery) resume(list ...fake.Endpoint) {
	s.t.Helper()
	_ = s.listener.Close()
	s.resumed = &fake.Discovery{}
	if err := s.resumed.Listen(s.address, list...); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(s.resumed.Close)
	s.resumed.SetVersion(1000)
}

// held is how many descriptors the program has.
func (p *relayProcess) descriptorCount() int {
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
func TestServe_IdleClientsAtDescriptorLimitWhileDiscoveryIsDown(t *testing.T) {
	ids := 0
	for _, limit := range []int{64, 256, 1024} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d descriptors, a list %v", limit, known), func(t *testing.T) {
				testDescriptorLimitWhileDiscoveryIsDown(t, limit, known, &ids)
			})
		}
	}
}

// crowdedWhileDiscoveryIsDown is the test at one limit of descriptors, with or without a list of backends from before.
// Flow ids go on from ids.
func testDescriptorLimitWhileDiscoveryIsDown(t *testing.T, limit int, known bool, ids *int) {
	one, two := &fake.Backend{}, &fake.Backend{}
	unused, list := startBackends(t, one, two)
	unused.Close()
	d := newSilentDiscovery(t)
	s := processOptions{discovery: d.address, sockets: limit, memoryMB: 64}
	if known { // of one of the two; discovery will say that it is the other
		s.knownEndpoints = list[:1]
	}
	p := crowdedProcess{relayProcess: startProcess(t, s), t: t, limit: limit, lastID: ids}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil); err != nil {
		t.Fatal(err)
	}
	p.dialIdle(3 * limit)
	var asked []*client
	for range limit {
		asked = append(asked, p.dialOpen())
	}
	p.dialIdle(limit)
	p.checkDescriptors()
	back := time.Now()
	d.resume(list[1])
	if known {
		p.openUntilBackendReached(two, back)
	}
	p.checkAllAnswered(asked)
	if took := time.Since(back); took > 6*time.Second {
		t.Errorf("discovery's return was heard of after %v", took)
	}
	p.checkDescriptors()
	s.sockets = limit / 2
	p.reloadConfig(s)
	p.waitForLog("configuration reloaded", 1)
	p.dialIdle(limit)
	p.checkAnswered(p.dialOpen(), "with half of the limit")
	if err := p.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.checkAnswered(p.dialOpen(), "after SIGTERM")
	if err := p.waitForExit(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if strings.Contains(p.log.String(), `"msg":"accept"`) || strings.Contains(p.log.String(), "too many open files") {
		t.Error("descriptors ran out")
	}
}

// crowd is a program whose clients fill its descriptors.
type crowdedProcess struct {
	*relayProcess
	t      *testing.T
	limit  int
	lastID *int
}

// idle dials n clients that say nothing.
func (p crowdedProcess) dialIdle(n int) {
	for range n {
		p.dial()
	}
}

// asks dials a client that sends a whole OPEN.
func (p crowdedProcess) dialOpen() *client {
	*p.lastID++
	c := p.dial()
	c.send(fmt.Sprintf("OPEN %016x %016x c=chat,d=20000", 1<<20+*p.lastID, *p.lastID))
	return c
}

func (p crowdedProcess) checkDescriptors() {
	p.t.Helper()
	if n := p.descriptorCount(); n > p.limit {
		p.t.Errorf("%d descriptors of %d", n, p.limit)
	}
}

// asksUntilOpenAt sends one OPEN after the other, each of which must be answered, until one reached the backend that
// discovery told of at the time given.
func (p crowdedProcess) openUntilBackendReached(b *fake.Backend, told time.Time) {
	p.t.Helper()
	for len(b.OpenLines()) == 0 {
		c := p.dialOpen()
		if got, err := c.reader.ReadString('\n'); err != nil {
			p.t.Fatalf("an OPEN is without an answer: %q, %v", got, err)
		}
		_ = c.Close()
		if time.Since(told) > testTimeout {
			p.t.Fatal("discovery's return is not heard of")
		}
	}
}

// answersAll checks that each client hears UP or BUSY, and an eighth of them UP.
func (p crowdedProcess) checkAllAnswered(asked []*client) {
	p.t.Helper()
	ups, busy := 0, 0
	for i, c := range asked {
		got, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			p.t.Fatalf("OPEN %d of %d is without an answer: %q, %v", i, p.limit, got, err)
		case strings.HasPrefix(got, "UP"):
			ups++
		case strings.HasPrefix(got, "BUSY"):
			busy++
		default:
			p.t.Errorf("heard %q", got)
		}
	}
	if ups < p.limit/8 || ups+busy != p.limit {
		p.t.Errorf("%d up, %d busy of %d", ups, busy, p.limit)
	}
}

// answers checks that one client hears UP or BUSY.
func (p crowdedProcess) checkAnswered(c *client, when string) {
	p.t.Helper()
	if got, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(got, "UP") && !strings.HasPrefix(got, "BUSY") {
		p.t.Errorf("%s: heard %q, %v", when, got, err)
	}
}

func TestServe_RejectsRequestsNearDescriptorLimit(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{sockets: 64}, &fake.Backend{})
	ups, busy := 0, 0
	for range 40 {
		c := p.dial()
		c.send(openRequest(""))
		got, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			t.Fatalf("after %d up and %d busy: %v", ups, busy, err)
		case strings.HasPrefix(got, "UP"):
			ups++
		case got == "BUSY 1000\r\n":
			busy++
		default:
			t.Fatalf("heard %q", got)
		}
	}
	if ups < 10 || busy < 10 {
		t.Errorf("%d up, %d busy", ups, busy)
	}
	c := p.dial()
	c.send("PING")
	c.expect("PONG")
}
