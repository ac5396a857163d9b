package main

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/fake"
)

// silentDiscovery is a discovery service that accepts calls and does not answer them until it resumes.
type silentDiscovery struct {
	t        *testing.T
	address  string
	listener net.Listener
	resumed  *fake.Discovery
}

// newSilentDiscovery starts a silent discovery service.
func newSilentDiscovery(t *testing.T) *silentDiscovery {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	discovery := &silentDiscovery{t: t, address: listener.Addr().String(), listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	return discovery
}

// resume makes the service answer new calls with a list; calls accepted before stay unanswered.
func (discovery *silentDiscovery) resume(endpoints ...fake.Endpoint) {
	discovery.t.Helper()
	_ = discovery.listener.Close()
	discovery.resumed = &fake.Discovery{}
	if err := discovery.resumed.Listen(discovery.address, endpoints...); err != nil {
		discovery.t.Fatal(err)
	}
	discovery.t.Cleanup(discovery.resumed.Close)
	discovery.resumed.SetVersion(1000)
}

// TestServe_IdleClientsAtDescriptorLimitWhileDiscoveryIsDown fills the descriptors with idle clients while discovery
// is down and other clients send requests; the system enforces the limit on the process. Every complete OPEN is
// answered, the list of a resumed discovery service is in force within 6 s, no accept fails, and SIGTERM and a reload
// with a smaller limit work as usual.
func TestServe_IdleClientsAtDescriptorLimitWhileDiscoveryIsDown(t *testing.T) {
	ids := 0
	for _, limit := range []int{64, 256, 1024} {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d descriptors, cached list %v", limit, known), func(t *testing.T) {
				testDescriptorLimitWhileDiscoveryIsDown(t, limit, known, &ids)
			})
		}
	}
}

// testDescriptorLimitWhileDiscoveryIsDown is the test at one descriptor limit, with or without a cached list of
// backends. Request ids continue from ids.
func testDescriptorLimitWhileDiscoveryIsDown(t *testing.T, limit int, known bool, ids *int) {
	cached, listed := &fake.Backend{}, &fake.Backend{}
	unused, endpoints := startBackends(t, cached, listed)
	unused.Close()
	discovery := newSilentDiscovery(t)
	options := processOptions{discovery: discovery.address, sockets: limit, memoryMB: 64}
	if known { // it names one backend; discovery will name the other
		options.knownEndpoints = endpoints[:1]
	}
	crowd := crowdedProcess{relayProcess: startProcess(t, options), t: t, limit: limit, lastID: ids}
	if err := unix.Prlimit(crowd.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(limit), Max: uint64(limit)}, nil); err != nil {
		t.Fatal(err)
	}
	crowd.dialIdle(3 * limit)
	var asked []*client
	for range limit {
		asked = append(asked, crowd.dialOpen())
	}
	crowd.dialIdle(limit)
	crowd.checkDescriptors()
	resumed := time.Now()
	discovery.resume(endpoints[1])
	if known {
		crowd.openUntilBackendReached(listed, resumed)
	}
	crowd.checkAllAnswered(asked)
	if took := time.Since(resumed); took > 6*time.Second {
		t.Errorf("the resumed discovery service took effect after %v", took)
	}
	crowd.checkDescriptors()
	options.sockets = limit / 2
	crowd.reloadConfig(options)
	crowd.waitForLog(logReloaded, 1)
	crowd.dialIdle(limit)
	crowd.checkAnswered(crowd.dialOpen(), "with half of the limit")
	if err := crowd.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	crowd.checkAnswered(crowd.dialOpen(), "after SIGTERM")
	if err := crowd.waitForExit(); err != nil {
		t.Errorf("ended with %v", err)
	}
	if strings.Contains(crowd.log.String(), `"msg":"accept failed"`) || strings.Contains(crowd.log.String(), "too many open files") {
		t.Error("descriptors ran out")
	}
}

// crowdedProcess is a relay whose descriptors are filled by its clients.
type crowdedProcess struct {
	*relayProcess
	t      *testing.T
	limit  int
	lastID *int
}

// dialIdle opens n connections that send nothing.
func (crowd crowdedProcess) dialIdle(n int) {
	for range n {
		crowd.dial()
	}
}

// dialOpen opens a connection and sends a complete OPEN line.
func (crowd crowdedProcess) dialOpen() *client {
	*crowd.lastID++
	c := crowd.dial()
	c.send(fmt.Sprintf("OPEN %016x %016x c=chat,d=20000", 1<<20+*crowd.lastID, *crowd.lastID))
	return c
}

// checkDescriptors fails the test if the process has more descriptors than its limit.
func (crowd crowdedProcess) checkDescriptors() {
	crowd.t.Helper()
	if n := crowd.descriptorCount(); n > crowd.limit {
		crowd.t.Errorf("%d descriptors of %d", n, crowd.limit)
	}
}

// openUntilBackendReached sends requests, each of which must be answered, until one reaches the backend that
// discovery has listed since the given time.
func (crowd crowdedProcess) openUntilBackendReached(backend *fake.Backend, told time.Time) {
	crowd.t.Helper()
	for len(backend.OpenLines()) == 0 {
		c := crowd.dialOpen()
		if got, err := c.reader.ReadString('\n'); err != nil {
			crowd.t.Fatalf("a request has no answer: %q, %v", got, err)
		}
		_ = c.Close()
		if time.Since(told) > testTimeout {
			crowd.t.Fatal("the resumed discovery service has no effect")
		}
	}
}

// checkAllAnswered fails the test unless every client gets UP or BUSY, and at least one in eight UP.
func (crowd crowdedProcess) checkAllAnswered(asked []*client) {
	crowd.t.Helper()
	accepted, rejected := 0, 0
	for i, c := range asked {
		got, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			crowd.t.Fatalf("OPEN %d of %d has no answer: %q, %v", i, crowd.limit, got, err)
		case strings.HasPrefix(got, "UP"):
			accepted++
		case strings.HasPrefix(got, "BUSY"):
			rejected++
		default:
			crowd.t.Errorf("got %q", got)
		}
	}
	if accepted < crowd.limit/8 || accepted+rejected != crowd.limit {
		crowd.t.Errorf("%d up, %d busy of %d", accepted, rejected, crowd.limit)
	}
}

// checkAnswered fails the test unless the client gets UP or BUSY.
func (crowd crowdedProcess) checkAnswered(c *client, when string) {
	crowd.t.Helper()
	if got, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(got, "UP") && !strings.HasPrefix(got, "BUSY") {
		crowd.t.Errorf("%s: got %q, %v", when, got, err)
	}
}

func TestServe_RejectsRequestsNearDescriptorLimit(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{sockets: 64}, &fake.Backend{})
	accepted, rejected := 0, 0
	for range 40 {
		c := process.dial()
		c.send(openRequest(""))
		got, err := c.reader.ReadString('\n')
		switch {
		case err != nil:
			t.Fatalf("after %d up and %d busy: %v", accepted, rejected, err)
		case strings.HasPrefix(got, "UP"):
			accepted++
		case got == "BUSY 1000\r\n":
			rejected++
		default:
			t.Fatalf("got %q", got)
		}
	}
	if accepted < 10 || rejected < 10 {
		t.Errorf("%d up, %d busy", accepted, rejected)
	}
	c := process.dial()
	c.send("PING")
	c.expect("PONG")
}
