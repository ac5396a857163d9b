package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// pair is a relay of which one process after the other runs, with the same address and folder.
type restartSequence struct {
	t         *testing.T
	options   processOptions
	directory string
}

func newRestartSequence(t *testing.T, s processOptions, b ...*fake.Backend) *restartSequence {
	t.Helper()
	if len(b) == 0 {
		b = []*fake.Backend{{}, {}, {}}
	}
	d, list := startBackends(t, b...)
	folder, err := os.MkdirTemp("", "ab") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	s.discovery, s.knownEndpoints = d.Addr(), list
	// On a busy machine answers to probes lag, and the module then refuses, as it should: that is not what is tested.
	s.replaceText = [2]string{`"probes":true`, `"probes":false`}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s.environment = append(s.environment, "TMPDIR="+folder, "PROXY_LISTEN="+addr, "PROXY_MANAGEMENT=127.0.0.1:0")
	return &restartSequence{t, s, folder}
}

var adminAddressPattern = regexp.MustCompile(`"msg":"serving".*"management":"([^"]+)"`)

// next starts another process and waits until it says yes at its own second address.
func (p *restartSequence) startNext() *relayProcess {
	p.t.Helper()
	n := startProcess(p.t, p.options)
	waitFor(p.t, "the next process is ready", func() bool { return strings.HasPrefix(n.callAdmin(p.t, "READY"), "SUCCESS") })
	return n
}

func (p *relayProcess) callAdmin(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", adminAddressPattern.FindStringSubmatch(p.log.String())[1])
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, _ = io.WriteString(c, text+"\n")
	got, _ := io.ReadAll(c)
	return string(got)
}

func (p *relayProcess) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// rush opens connections at an address one after the other, from so many clients, until it is stopped, and counts
// those that were turned back unheard and those that had no good answer.
type connectionLoad struct {
	mu                          sync.Mutex
	stop                        chan struct{}
	clients                     sync.WaitGroup
	accepted, refused, rejected int
	firstError                  error
}

func (l *connectionLoad) run(addr string, clients int) {
	l.stop = make(chan struct{})
	for i := range clients {
		l.clients.Add(1)
		go func() {
			defer l.clients.Done()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
					l.openConnection(addr, i<<20+n)
				}
			}
		}()
	}
}

func (l *connectionLoad) openConnection(addr string, id int) {
	answer, err := "", error(nil)
	c, err := net.Dial("tcp", addr)
	if err == nil {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1500\r\n", id+1, id)
		answer, err = bufio.NewReader(c).ReadString('\n')
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil: // refused, reset or closed with no word
		l.refused++
		if l.firstError == nil {
			l.firstError = err
		}
	case strings.HasPrefix(answer, "UP"):
		l.accepted++
	default:
		l.rejected++
		if l.firstError == nil {
			l.firstError = fmt.Errorf("answer %q", answer)
		}
	}
}

func (l *connectionLoad) acceptedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// more waits until so many further connections have been brought up.
func (l *connectionLoad) waitForAccepted(t *testing.T, n int) {
	t.Helper()
	was := l.acceptedCount()
	waitFor(t, "more connections are brought up", func() bool { return l.acceptedCount() >= was+n })
}

func (l *connectionLoad) stopAndCheck(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.clients.Wait()
	if l.refused+l.rejected > 0 {
		t.Errorf("%d connections brought up, %d turned back, %d without a good answer, the first: %v", l.accepted, l.refused, l.rejected, l.firstError)
	}
}

// Ten upgrades in a row while connections open as fast as they can: none is turned back, and each old process exits
// with 0 once SIGTERM has come.
func TestHotRestart_RefusesNoConnectionUnderLoad(t *testing.T) {
	p := newRestartSequence(t, processOptions{})
	old := p.startNext()
	l := &connectionLoad{}
	l.run(old.address, 8)
	for range 10 {
		n := p.startNext()
		l.waitForAccepted(t, 100)
		old.signal(syscall.SIGTERM)
		if err := old.waitForExit(); err != nil {
			t.Fatalf("the old process: %v", err)
		}
		l.waitForAccepted(t, 100)
		old = n
	}
	l.stopAndCheck(t)
	t.Logf("%d connections brought up over ten upgrades", l.accepted)
	old.waitForLog("state restored from predecessor process", 1)
}

// A next process that dies before or after it serves leaves the relay as it was: the old one takes who comes again.
func TestHotRestart_FailedSuccessorLeavesPredecessorServing(t *testing.T) {
	p := newRestartSequence(t, processOptions{})
	old := p.startNext()
	l := &connectionLoad{}
	l.run(old.address, 4)
	for i := range 3 {
		n := p.startNext()
		l.waitForAccepted(t, 50)
		n.signal(syscall.SIGTERM) // in order, so that what it has taken is answered: the old one goes on
		if err := n.waitForExit(); err != nil {
			t.Fatal(err)
		}
		old.waitForLog("the next process has ended, this one takes who comes again", i+1)
		l.waitForAccepted(t, 50)
	}
	l.stopAndCheck(t)
	n := p.startNext()
	n.signal(syscall.SIGKILL)
	_ = n.waitForExit()
	old.waitForLog("the next process has ended", 4)
	old.openSession(openRequest("")).send("ping")
}

// The next process dies, or is told to end itself, while the old one is on its way out: nobody took who came then, and
// the queue was reset when the old one closed it. The old one takes them again for as long as it is there.
func TestHotRestart_SuccessorFailsDuringPredecessorShutdown(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		hold := make(chan struct{})
		b := &fake.Backend{Answer: func(open string) []string {
			if strings.Contains(open, "held=1") {
				<-hold
			}
			return []string{"UP it"}
		}}
		p := newRestartSequence(t, processOptions{}, b)
		old := p.startNext()
		waits := old.dial()
		waits.send(openRequest(",held=1"))
		waitFor(t, "it is sent", func() bool { return len(b.OpenLines()) == 1 })
		n := p.startNext()
		old.signal(syscall.SIGTERM) // it owes an answer, and stays until that is given
		old.waitForLog(`"msg":"graceful shutdown started"`, 1)
		n.signal(s)
		if err := n.waitForExit(); (err == nil) != (s == syscall.SIGTERM) {
			t.Fatal(err)
		}
		old.waitForLog("the next process has ended, this one takes who comes again", 1)
		c := old.dial()
		c.send(openRequest(""))
		c.expect("UP it")
		close(hold)
		waits.expect("UP it")
		for _, c := range []*client{c, waits} {
			c.expect("MOVE")
			c.expectClosed()
			_ = c.Close()
		}
		if err := old.waitForExit(); err != nil {
			t.Error(err)
		}
	}
}

// What an old process has left in the folder is no obstacle: killed, it is nobody to take over from.
func TestHotRestart_IgnoresStaleFiles(t *testing.T) {
	p := newRestartSequence(t, processOptions{})
	old := p.startNext()
	old.signal(syscall.SIGKILL)
	_ = old.waitForExit()
	if left, _ := filepath.Glob(filepath.Join(p.directory, "*")); len(left) == 0 {
		t.Fatal("it left nothing behind")
	}
	n := p.startNext()
	n.openSession(openRequest(""))
	if strings.Contains(n.log.String(), "taken over") {
		t.Error("it took over from nobody")
	}
}

// A drain told to one of the two processes is told to the relay: both send their clients away, and a yes of either
// would be one too many.
func TestHotRestart_DrainAppliesToBothProcesses(t *testing.T) {
	p := newRestartSequence(t, processOptions{})
	old := p.startNext()
	standing := old.openSession(openRequest(""))
	n := p.startNext()
	if got := n.callAdmin(t, "DRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	standing.expect("MOVE")
	waitFor(t, "the old one is drained", func() bool { return strings.HasPrefix(old.callAdmin(t, "READY"), "FAILURE drained") })
	if got := old.callAdmin(t, "UNDRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	waitFor(t, "the new one takes clients again", func() bool { return strings.HasPrefix(n.callAdmin(t, "READY"), "SUCCESS") })
}

// Where the folder cannot hold a socket the relay serves all the same, and the next process shares its address.
func TestHotRestart_SharesAddressWithoutSocketDirectory(t *testing.T) {
	p := newRestartSequence(t, processOptions{})
	p.options.environment = append(p.options.environment, "TMPDIR="+filepath.Join(p.directory, "missing"))
	old := p.startNext()
	old.waitForLog("a next process will find nothing to take over", 1)
	n := p.startNext()
	l := &connectionLoad{}
	l.run(n.address, 4)
	l.waitForAccepted(t, 50)
	old.signal(syscall.SIGTERM)
	if err := old.waitForExit(); err != nil {
		t.Fatal(err)
	}
	l.waitForAccepted(t, 50)
	close(l.stop)
	l.clients.Wait()
	if l.accepted < 100 || l.rejected > 8 {
		t.Errorf("%d up, %d turned back, %d badly answered: %v", l.accepted, l.refused, l.rejected, l.firstError)
	}
}
