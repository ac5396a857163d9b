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
type pair struct {
	t      *testing.T
	setup  setup
	folder string
}

func newPair(t *testing.T, s setup, b ...*fake.Backend) *pair {
	t.Helper()
	if len(b) == 0 {
		b = []*fake.Backend{{}, {}, {}}
	}
	d, list := backends(t, b...)
	folder, err := os.MkdirTemp("", "ab") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(folder) })
	s.discovery, s.known = d.Addr(), list
	// On a busy machine answers to probes lag, and the module then refuses, as it should: that is not what is tested.
	s.replace = [2]string{`"probes":true`, `"probes":false`}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	s.env = append(s.env, "TMPDIR="+folder, "PROXY_LISTEN="+addr, "PROXY_MANAGEMENT=127.0.0.1:0")
	return &pair{t, s, folder}
}

var managementAt = regexp.MustCompile(`"msg":"serving".*"management":"([^"]+)"`)

// next starts another process and waits until it says yes at its own second address.
func (p *pair) next() *program {
	p.t.Helper()
	n := start(p.t, p.setup)
	until(p.t, "the next process is ready", func() bool { return strings.HasPrefix(n.call(p.t, "READY"), "SUCCESS") })
	return n
}

func (p *program) call(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", managementAt.FindStringSubmatch(p.log.String())[1])
	if err != nil {
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(c, text+"\n")
	got, _ := io.ReadAll(c)
	return string(got)
}

func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// rush opens connections at an address one after the other, from so many clients, until it is stopped, and counts
// those that were turned back unheard and those that had no good answer.
type rush struct {
	mu            sync.Mutex
	stop          chan struct{}
	clients       sync.WaitGroup
	up, back, bad int
	first         error
}

func (l *rush) run(addr string, clients int) {
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
					l.one(addr, i<<20+n)
				}
			}
		}()
	}
}

func (l *rush) one(addr string, id int) {
	answer, err := "", error(nil)
	c, err := net.Dial("tcp", addr)
	if err == nil {
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "OPEN %016x %016x c=chat,d=1500\r\n", id+1, id)
		answer, err = bufio.NewReader(c).ReadString('\n')
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil: // refused, reset or closed with no word
		l.back++
		if l.first == nil {
			l.first = err
		}
	case strings.HasPrefix(answer, "UP"):
		l.up++
	default:
		l.bad++
		if l.first == nil {
			l.first = fmt.Errorf("answer %q", answer)
		}
	}
}

func (l *rush) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// more waits until so many further connections have been brought up.
func (l *rush) more(t *testing.T, n int) {
	t.Helper()
	was := l.count()
	until(t, "more connections are brought up", func() bool { return l.count() >= was+n })
}

func (l *rush) ends(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.clients.Wait()
	if l.back+l.bad > 0 {
		t.Errorf("%d connections brought up, %d turned back, %d without a good answer, the first: %v", l.up, l.back, l.bad, l.first)
	}
}

// Ten upgrades in a row while connections open as fast as they can: none is turned back, and each old process exits
// with 0 once SIGTERM has come.
func TestHotRestart_RefusesNoConnectionUnderLoad(t *testing.T) {
	p := newPair(t, setup{})
	old := p.next()
	l := &rush{}
	l.run(old.addr, 8)
	for range 10 {
		n := p.next()
		l.more(t, 100)
		old.signal(syscall.SIGTERM)
		if err := old.ended(); err != nil {
			t.Fatalf("the old process: %v", err)
		}
		l.more(t, 100)
		old = n
	}
	l.ends(t)
	t.Logf("%d connections brought up over ten upgrades", l.up)
	old.logs("state restored from predecessor process", 1)
}

// A next process that dies before or after it serves leaves the relay as it was: the old one takes who comes again.
func TestHotRestart_FailedSuccessorLeavesPredecessorServing(t *testing.T) {
	p := newPair(t, setup{})
	old := p.next()
	l := &rush{}
	l.run(old.addr, 4)
	for i := range 3 {
		n := p.next()
		l.more(t, 50)
		n.signal(syscall.SIGTERM) // in order, so that what it has taken is answered: the old one goes on
		if err := n.ended(); err != nil {
			t.Fatal(err)
		}
		old.logs("the next process has ended, this one takes who comes again", i+1)
		l.more(t, 50)
	}
	l.ends(t)
	n := p.next()
	n.signal(syscall.SIGKILL)
	_ = n.ended()
	old.logs("the next process has ended", 4)
	old.up(open("")).say("ping")
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
		p := newPair(t, setup{}, b)
		old := p.next()
		waits := old.dial()
		waits.say(open(",held=1"))
		until(t, "it is sent", func() bool { return len(b.OpenLines()) == 1 })
		n := p.next()
		old.signal(syscall.SIGTERM) // it owes an answer, and stays until that is given
		old.logs(`"msg":"graceful shutdown started"`, 1)
		n.signal(s)
		if err := n.ended(); (err == nil) != (s == syscall.SIGTERM) {
			t.Fatal(err)
		}
		old.logs("the next process has ended, this one takes who comes again", 1)
		c := old.dial()
		c.say(open(""))
		c.hear("UP it")
		close(hold)
		waits.hear("UP it")
		for _, c := range []*client{c, waits} {
			c.hear("MOVE")
			c.ends()
			_ = c.Close()
		}
		if err := old.ended(); err != nil {
			t.Error(err)
		}
	}
}

// What an old process has left in the folder is no obstacle: killed, it is nobody to take over from.
func TestHotRestart_IgnoresStaleFiles(t *testing.T) {
	p := newPair(t, setup{})
	old := p.next()
	old.signal(syscall.SIGKILL)
	_ = old.ended()
	if left, _ := filepath.Glob(filepath.Join(p.folder, "*")); len(left) == 0 {
		t.Fatal("it left nothing behind")
	}
	n := p.next()
	n.up(open(""))
	if strings.Contains(n.log.String(), "taken over") {
		t.Error("it took over from nobody")
	}
}

// A drain told to one of the two processes is told to the relay: both send their clients away, and a yes of either
// would be one too many.
func TestHotRestart_DrainAppliesToBothProcesses(t *testing.T) {
	p := newPair(t, setup{})
	old := p.next()
	standing := old.up(open(""))
	n := p.next()
	if got := n.call(t, "DRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	standing.hear("MOVE")
	until(t, "the old one is drained", func() bool { return strings.HasPrefix(old.call(t, "READY"), "FAILURE drained") })
	if got := old.call(t, "UNDRAIN"); !strings.HasPrefix(got, "SUCCESS") {
		t.Fatalf("%q", got)
	}
	until(t, "the new one takes clients again", func() bool { return strings.HasPrefix(n.call(t, "READY"), "SUCCESS") })
}

// Where the folder cannot hold a socket the relay serves all the same, and the next process shares its address.
func TestHotRestart_SharesAddressWithoutSocketDirectory(t *testing.T) {
	p := newPair(t, setup{})
	p.setup.env = append(p.setup.env, "TMPDIR="+filepath.Join(p.folder, "missing"))
	old := p.next()
	old.logs("a next process will find nothing to take over", 1)
	n := p.next()
	l := &rush{}
	l.run(n.addr, 4)
	l.more(t, 50)
	old.signal(syscall.SIGTERM)
	if err := old.ended(); err != nil {
		t.Fatal(err)
	}
	l.more(t, 50)
	close(l.stop)
	l.clients.Wait()
	if l.up < 100 || l.bad > 8 {
		t.Errorf("%d up, %d turned back, %d badly answered: %v", l.up, l.back, l.bad, l.first)
	}
}
