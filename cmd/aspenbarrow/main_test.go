package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// The tests start this very binary as the program and speak to it over loopback.
func TestMain(m *testing.M) {
	if os.Getenv("ASPENBARROW_TEST_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const patience = 15 * time.Second // far over what anything here takes

const settingsText = `{"azs": ["east"], "kinds": ["k"], "n-instances": 1, "me": 0, "tick-ms": 4,
"classes": [{"name": "chat", "effect": "read_like", "on-time-ms": 500, "give-up-ms": 2000},
 {"name": "order", "effect": "non_idempotent", "on-time-ms": 500, "give-up-ms": 2000}],
"family-info": {"mode": "MODE", "message-aim-ms": [60, 60], "tells-load": true},
"limits": {"probes": true, "peers": true, "cancelling": true, "retry-after": true, "dial-timeout-ms": 250,
 "max-retry-after-ms": 1500, "try-limit": 4, "idle-close-ms": 5000},
"rules": {"answer-slack-ms": 16, "stop-sending-within-ms": 250, "cold-from": 0.3, "warm-up-ms": 8000,
 "fall-multiple": 2.5, "fall-ms": 3000, "ask-every-ms": 10000},
"stats": {"how": "on_probe", "fields": ["utilization", "x0"]}, "registry-mode": "pushed", "weights": "nominal"}`

// program is one running relay.
type program struct {
	t    *testing.T
	cmd  *exec.Cmd
	path string // of its configuration
	addr string
	log  *syncBuffer
	done chan error
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

type setup struct {
	discovery string
	mode      string // of the settings; "proxy" where not said
	sockets   int
	known     []fake.Endpoint
	replace   [2]string // in the configuration's text
	env       []string  // beyond what names the file
	memory    int       // MB; 192 where not said

	program string         // path of another build of the program; the test binary where not said
	more    map[string]any // keys of the configuration beyond the usual ones, or in place of them
}

// start runs the program and waits until it says where it listens.
func start(t *testing.T, s setup) *program {
	t.Helper()
	p := launch(t, s)
	served := regexp.MustCompile(`"msg":"serving".*"address":"([^"]+)"`)
	for deadline := time.Now().Add(patience); ; {
		if m := served.FindStringSubmatch(p.log.String()); m != nil {
			p.addr = m[1]
			return p
		}
		select {
		case err := <-p.done:
			t.Fatalf("the program ended at its start: %v\n%s", err, p.log)
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatalf("the program does not serve\n%s", p.log)
		}
	}
}

// configure writes a configuration.
func (s setup) configure(t *testing.T, path string) {
	t.Helper()
	if s.mode == "" {
		s.mode = "proxy"
	}
	if s.sockets == 0 {
		s.sockets = 1024
	}
	if s.memory == 0 {
		s.memory = 192
	}
	config := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": s.discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": s.memory, "sockets": s.sockets},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:9"}, "peers_all": "127.0.0.1:9",
		"known":    json.RawMessage(fake.EncodeList(1, s.known)),
		"settings": json.RawMessage(strings.Replace(settingsText, "MODE", s.mode, 1))}
	maps.Copy(config, s.more)
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if s.replace[0] != "" {
		if !bytes.Contains(text, []byte(s.replace[0])) {
			t.Fatalf("%s is not in the configuration", s.replace[0])
		}
		text = bytes.Replace(text, []byte(s.replace[0]), []byte(s.replace[1]), 1)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func launch(t *testing.T, s setup) *program {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	s.configure(t, path)
	if s.program == "" {
		self, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		s.program = self
	}
	p := &program{t: t, path: path, cmd: exec.Command(s.program), log: &syncBuffer{}, done: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "ASPENBARROW_TEST_RUN=1", "PROXY_CONFIG="+path,
		"PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	p.cmd.Env = append(p.cmd.Env, s.env...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if strings.Contains(p.log.String(), "DATA RACE") || strings.Contains(p.log.String(), `"msg":"panic`) {
			t.Error("the program's log tells of a race or a panic")
		}
		if t.Failed() {
			t.Logf("the program's log:\n%s", p.log)
		}
	})
	return p
}

// reload replaces the configuration and tells the program so.
func (p *program) reload(s setup) {
	p.t.Helper()
	s.configure(p.t, p.path)
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
}

// logs waits until the program's log holds a text so many times.
func (p *program) logs(text string, times int) {
	p.t.Helper()
	until(p.t, fmt.Sprintf("%q is logged %d times", text, times), func() bool {
		return strings.Count(p.log.String(), text) >= times
	})
}

// until waits for a condition.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ok(); {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// ended waits for the program's exit.
func (p *program) ended() error {
	p.t.Helper()
	select {
	case err := <-p.done:
		return err
	case <-time.After(patience):
		p.t.Fatal("the program does not end")
		return nil
	}
}

// client is one connection to the relay.
type client struct {
	t *testing.T
	*net.TCPConn
	in *bufio.Reader
}

func (p *program) dial() *client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(patience))
	return &client{p.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *client) say(lines ...string) {
	c.t.Helper()
	for _, l := range lines {
		if _, err := io.WriteString(c, l+"\r\n"); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *client) hear(want string) {
	c.t.Helper()
	got, err := c.in.ReadString('\n')
	if err != nil || got != want+"\r\n" {
		c.t.Fatalf("heard %q and %v, want %q", got, err, want)
	}
}

// up dials, opens and hears that its connection stands.
func (p *program) up(line string) *client {
	p.t.Helper()
	c := p.dial()
	c.say(line)
	c.hear("UP " + strings.Fields(line)[1])
	return c
}

// ends checks that the connection ends cleanly with nothing more on it.
func (c *client) ends() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) != 0 {
		c.t.Fatalf("%q and %v before the end", rest, err)
	}
}

var lastID = uint64(0x9b1f03aa5c7e0000)

func open(more string) string {
	lastID++
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59%s", lastID, more)
}

// backends starts fake backends and a discovery that lists them as s-0, s-1, ...
func backends(t *testing.T, b ...*fake.Backend) (*fake.Discovery, []fake.Endpoint) {
	t.Helper()
	var list []fake.Endpoint
	for i := range b {
		if b[i].LoadReport == "" {
			b[i].LoadReport = "utilization=0.2,x0=0.3"
		}
		if err := b[i].Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b[i].Close)
		list = append(list, fake.Endpoint{ID: "s-" + strconv.Itoa(i), Addr: b[i].Addr(), Zone: "east", Kind: "k",
			State: "ready", Weight: 1})
	}
	d := &fake.Discovery{}
	if err := d.Listen("127.0.0.1:0", list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, list
}

// serving starts a relay with backends and waits until it is ready.
func serving(t *testing.T, s setup, b ...*fake.Backend) (*program, *fake.Discovery, []fake.Endpoint) {
	t.Helper()
	d, list := backends(t, b...)
	s.discovery, s.known = d.Addr(), list
	p := start(t, s)
	return p, d, list
}

func TestLinesPassBothWaysUnchanged(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	line := open(",r=1,again=1,x-new=1")
	c := p.up(line)
	c.say("hello", "PING", "MOVE along")
	c.hear("echo hello")
	c.hear("echo PING")
	c.hear("echo MOVE along")
	b.Broadcast("LOAD 12.5", "BYE", "")
	c.hear("LOAD 12.5")
	c.hear("BYE")
	c.ends()
	got := b.OpenLines()
	if len(got) != 1 {
		t.Fatalf("the backend saw %q", got)
	}
	m := regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(got[0])
	if m == nil {
		t.Fatalf("no d in %q", got[0])
	}
	if left, _ := strconv.Atoi(m[1]); left < 1000 || left > 2000 {
		t.Errorf("%d ms left of 2000", left)
	}
	if strings.Replace(got[0], m[0], ",d=2000,", 1) != line {
		t.Errorf("the backend saw %q of %q", got[0], line)
	}
}

// raw starts a backend whose connections, once UP, are the test's, and a relay in front of it.
func raw(t *testing.T, stands func(c net.Conn, in *bufio.Reader)) *program {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if first, _ := in.ReadString('\n'); !strings.HasPrefix(first, "OPEN") {
					_, _ = io.WriteString(c, "PONG utilization=0.1,x0=0.1\r\n")
					return
				}
				_, _ = io.WriteString(c, "UP here\r\n")
				stands(c, in)
			}()
		}
	}()
	d := &fake.Discovery{}
	list := fake.Endpoint{ID: "s-0", Addr: l.Addr().String(), Zone: "east", State: "ready", Weight: 1}
	if err := d.Listen("127.0.0.1:0", list); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return start(t, setup{discovery: d.Addr(), known: []fake.Endpoint{list}})
}

func TestEndsAreHandedOnInKind(t *testing.T) {
	seen := make(chan error, 2)
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		_, err := in.ReadString('\n')
		seen <- err
	})
	for _, reset := range []bool{false, true} {
		c := p.dial()
		c.say(open(""))
		c.hear("UP here")
		if reset {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
		select {
		case err := <-seen:
			if reset == errors.Is(err, io.EOF) {
				t.Errorf("client reset %v, the backend saw %v", reset, err)
			}
		case <-time.After(patience):
			t.Fatal("the backend's connection stays open")
		}
	}
}

func TestABackendThatTakesNoLinesLosesItsClient(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	p := raw(t, func(c net.Conn, in *bufio.Reader) { <-done })
	c := p.dial()
	c.say(open(""))
	c.hear("UP here")
	go func() { // until the connection ends
		for line := strings.Repeat("x", 4000) + "\r\n"; ; {
			if _, err := io.WriteString(c, line); err != nil {
				return
			}
		}
	}()
	c.hear("MOVE")
}

func TestASlowReaderStallsOnlyItself(t *testing.T) {
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if l == "flood\r\n" {
				l = strings.Repeat(strings.Repeat("y", 1000)+"\r\n", 20000)
			}
			_, _ = io.WriteString(c, l)
		}
	})
	slow := p.dial()
	slow.say(open(""))
	slow.hear("UP here")
	slow.say("flood")
	c := p.dial()
	c.say(open(""))
	c.hear("UP here")
	for i := range 100 {
		asked := time.Now()
		c.say(strconv.Itoa(i))
		c.hear(strconv.Itoa(i))
		if took := time.Since(asked); took > time.Second {
			t.Fatalf("a line took %v", took)
		}
	}
	n := 0
	for range 20000 { // and what was held up is all there
		l, err := slow.in.ReadString('\n')
		if err != nil || len(l) != 1002 {
			t.Fatalf("%d bytes and %v after %d lines", len(l), err, n)
		}
		n++
	}
}

func TestARefusedAttemptGoesOnElsewhereOnce(t *testing.T) {
	full := &fake.Backend{Answer: func(string) []string { return []string{"BUSY", ""} }}
	good := &fake.Backend{}
	p, _, _ := serving(t, setup{}, full, good)
	for range 6 {
		p.up(open(""))
	}
	if n := len(good.OpenLines()); n != 6 {
		t.Errorf("%d opens where 6 clients are up", n)
	}
}

func TestARequestServedToItsEndAtOnceIsNotRepeated(t *testing.T) {
	b := &fake.Backend{Answer: func(string) []string { return []string{"BYE", ""} }}
	p, _, _ := serving(t, setup{}, b)
	c := p.dial()
	c.say(open(""))
	c.hear("BYE")
	c.ends()
	if n := len(b.OpenLines()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestAnUnsafeRequestIsNotRepeated(t *testing.T) {
	broken := &fake.Backend{Answer: func(string) []string { return []string{"RESET"} }}
	also := &fake.Backend{Answer: broken.Answer}
	p, _, _ := serving(t, setup{}, broken, also)
	c := p.dial()
	c.say(strings.Replace(open(""), "c=chat", "c=order", 1))
	c.hear("ERR")
	c.ends()
	if n := len(broken.OpenLines()) + len(also.OpenLines()); n != 1 {
		t.Errorf("sent %d times", n)
	}
}

func TestBadInputIsAnsweredOnceAndSurvived(t *testing.T) {
	p, _, _ := serving(t, setup{}, &fake.Backend{})
	held := p.dial()
	first := open("")
	held.say(first)
	held.hear("UP " + strings.Fields(first)[1])
	for name, line := range map[string]string{
		"no protocol": "GET / HTTP/1.1", "unknown class": strings.Replace(open(""), "chat", "cat", 1),
		"bad number": strings.Replace(open(""), "d=2000", "d=2s", 1), "bad id": "OPEN xyz 7f3a9c21e0b4d655 c=chat,d=2000",
		"no patience": strings.Replace(open(""), ",d=2000", "", 1), "overlong": strings.Repeat("x", 5000), "duplicate id": first,
		"exponent": strings.Replace(open(""), "2000", "2e3", 1), "twice": open(",d=2000"), "not pass": open(",mid=1"),
		"control byte": open(",x=\x07"), "at later": open(",at=s-0"),
		"bare LF": open("") + "\nPING", "negative patience": strings.Replace(open(""), "2000", "-5", 1), "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			c := p.dial()
			c.t = t
			c.say(line)
			c.hear("ERR")
			c.ends()
		})
	}
	c := p.dial()
	c.say("PING")
	c.hear("PONG")
	held.say("still")
	held.hear("echo still")
	if n := strings.Count(p.log.String(), `"msg":"protocol error from client"`); n < 15 {
		t.Errorf("%d of 15 logged", n)
	}
}

func TestClientsMoveOffADrainingBackendAndNothingNewGoesThere(t *testing.T) {
	a, b := &fake.Backend{}, &fake.Backend{}
	p, d, list := serving(t, setup{}, a, b)
	var at []*client
	for range 8 {
		c := p.up(strings.Replace(open(""), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", lastID*7919), 1))
		before := len(a.OpenLines())
		if before > len(at) {
			at = append(at, c)
		}
	}
	if len(at) == 0 {
		t.Fatal("none of 8 keys has the first backend as its home")
	}
	list[0].State = "draining"
	d.SetEndpoints(list...)
	for _, c := range at {
		c.hear("MOVE")
		c.ends()
	}
	was := len(a.OpenLines())
	for range 8 {
		p.up(strings.Replace(open(""), "7f3a9c21e0b4d655", fmt.Sprintf("%016x", lastID*7919), 1))
	}
	if n := len(a.OpenLines()); n != was {
		t.Errorf("%d connections to a draining backend", n-was)
	}
}

func TestASilentBackendsClientIsMoved(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	c := p.up(open(""))
	b.StopResponding()
	asked := time.Now()
	c.say("anyone?")
	c.hear("MOVE")
	c.ends()
	if took := time.Since(asked); took > 6*time.Second {
		t.Errorf("moved after %v", took)
	}
}

func TestAStandingConnectionGoesToItsBackend(t *testing.T) {
	a, b := &fake.Backend{}, &fake.Backend{}
	p, _, _ := serving(t, setup{mode: "pass"}, a, b)
	for i, want := range []*fake.Backend{a, b, a, b} {
		before := len(want.OpenLines())
		line := open(",at=s-" + strconv.Itoa(i%2))
		p.up(line)
		if len(want.OpenLines()) != before+1 {
			t.Errorf("%q went elsewhere", line)
		}
	}
}

func TestTheAnswerComesInTime(t *testing.T) {
	b := &fake.Backend{Answer: func(string) []string { return nil }} // never answers
	p, _, _ := serving(t, setup{}, b)
	c := p.dial()
	asked := time.Now()
	c.say(strings.Replace(open(""), "d=2000", "d=300", 1))
	got, err := c.in.ReadString('\n')
	if took := time.Since(asked); err != nil || !strings.HasPrefix(got, "BUSY") || took < 250*time.Millisecond ||
		took > 2*time.Second {
		t.Fatalf("%q and %v after %v", got, err, took)
	}
	c.ends()
}

// A backend that answers at the very end of the client's patience races with the
// relay's own time-out: the client hears one of both.
func TestARaceOfAnswersIsWonByOne(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string {
		m := regexp.MustCompile(`,d=(\d+),`).FindStringSubmatch(open)
		left, _ := strconv.Atoi(m[1])
		<-time.After(time.Duration(left) * time.Millisecond)
		return []string{"UP late"}
	}}
	p, _, _ := serving(t, setup{}, b)
	var all sync.WaitGroup
	for i := range 40 {
		c := p.dial()
		c.say(strings.Replace(open(""), "d=2000", "d="+strconv.Itoa(100+i), 1))
		all.Add(1)
		go func() {
			defer all.Done()
			first, err := c.in.ReadString('\n')
			if err != nil {
				t.Errorf("no answer: %v", err)
				return
			}
			if strings.HasPrefix(first, "UP") {
				return
			}
			if rest, _ := io.ReadAll(c.in); len(rest) != 0 {
				t.Errorf("%q after the final answer %q", rest, first)
			}
		}()
	}
	all.Wait()
}

func TestNearTheLimitOfDescriptorsTheAnswerIsBusy(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 64}, &fake.Backend{})
	ups, busy := 0, 0
	for range 40 {
		c := p.dial()
		c.say(open(""))
		got, err := c.in.ReadString('\n')
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
	c.say("PING")
	c.hear("PONG")
}

func TestSIGTERMAnswersWhatIsPendingAndMovesTheRest(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "slow=1") {
			<-time.After(700 * time.Millisecond)
		}
		return []string{"UP it"}
	}}
	p, _, _ := serving(t, setup{}, b)
	var standing []*client
	for range 5 {
		c := p.dial()
		c.say(open(""))
		c.hear("UP it")
		standing = append(standing, c)
	}
	pending := p.dial()
	pending.say(open(",slow=1"))
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	late := p.dial() // the front goes on sending for a while
	late.say(open(""))
	late.hear("UP it")
	pending.hear("UP it")
	for _, c := range append(standing, pending, late) {
		c.hear("MOVE")
		c.ends()
	}
	if err := p.ended(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

// A second SIGTERM, and a SIGHUP, while the relay leaves end nothing early: who stands is moved, who waits is answered.
func TestSignalsWhileItLeavesEndNothingEarly(t *testing.T) {
	hold := make(chan struct{})
	b := &fake.Backend{Answer: func(open string) []string {
		if strings.Contains(open, "held=1") {
			<-hold
		}
		return []string{"UP it"}
	}}
	p, _, _ := serving(t, setup{}, b)
	c := p.dial()
	c.say(open(""))
	c.hear("UP it")
	waits := p.dial()
	waits.say(open(",held=1"))
	until(t, "it is sent", func() bool { return len(b.OpenLines()) == 2 })
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	p.logs("configuration reloaded", 1)
	p.logs(`"msg":"graceful shutdown started"`, 1)
	close(hold)
	waits.hear("UP it")
	for _, c := range []*client{c, waits} {
		c.hear("MOVE")
		c.ends()
	}
	if err := p.ended(); err != nil {
		t.Errorf("exit: %v", err)
	}
	if n := strings.Count(p.log.String(), `"msg":"graceful shutdown started"`); n != 1 {
		t.Errorf("left %d times", n)
	}
}

// Where packets pass through, a relay that is told to stop goes on for its connections until it is stopped.
func TestALeavingRelayHoldsWhatPassesThrough(t *testing.T) {
	p, _, _ := serving(t, setup{mode: "pass"}, &fake.Backend{})
	c := p.up(open(""))
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for told := time.Now(); time.Since(told) < 4*time.Second; {
		c.say("still")
		c.hear("echo still")
	}
	_ = c.Close()
	if err := p.ended(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestKnownBackendsSufficeWhileDiscoveryIsSilent(t *testing.T) {
	d, list := backends(t, &fake.Backend{})
	d.Close()
	p := start(t, setup{discovery: d.Addr(), known: list})
	c := p.dial()
	c.say("PING", "STATS")
	c.hear("PONG")
	c.hear("PONG")
	c = p.dial()
	line := open("")
	c.say(line)
	c.hear("UP " + strings.Fields(line)[1])
}

func TestABadBodyKeepsTheLastList(t *testing.T) {
	p, d, _ := serving(t, setup{}, &fake.Backend{})
	d.SetResponse(`{"version": 9, "full": true, "servers": [{"id": "s-0", "state": "asleep"}]}`)
	p.logs("asleep", 1)
	p.up(open(""))
}

func TestAListThatMovesABackendIsFollowed(t *testing.T) {
	old, moved := &fake.Backend{}, &fake.Backend{}
	p, d, list := serving(t, setup{}, old, moved)
	d.SetEndpoints(fake.Endpoint{ID: list[0].ID, Addr: list[1].Addr, Zone: "east", State: "ready", Weight: 1})
	for deadline := time.Now().Add(patience); len(moved.OpenLines()) == 0; {
		p.up(open(""))
		if time.Now().After(deadline) {
			t.Fatal("the new address is not used")
		}
	}
}

func TestABadConfigurationIsSaidBeforeAnythingListens(t *testing.T) {
	for name, r := range map[string][2]string{
		"not JSON":           {`"seed"`, `seed`},
		"bad seed":           {`8c1f30d27a5be964`, `xyz`},
		"no deadline":        {`"give-up-ms":2000`, `"gives-up-ms":2000`},
		"no aim":             {`"on-time-ms":500`, `"on-time-ms":0`},
		"attempts below one": {`"try-limit":4`, `"try-limit":-4`},
		"no classes":         {`"classes":[`, `"no-classes":[`},
		"negative limit":     {`"memory_mb":192`, `"memory_mb":-1`},
		"no listen address":  {`127.0.0.1:0","m`, `","m`},
		"bad listen address": {`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "no listen address" {
				r = [2]string{`"listen":"127.0.0.1:0"`, `"listen":""`}
			}
			p := launch(t, setup{discovery: "127.0.0.1:9", replace: r})
			err := p.ended()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("exit: %v", err)
			}
			if !strings.HasPrefix(p.log.String(), "aspenbarrow: ") || strings.Contains(p.log.String(), "serving") {
				t.Errorf("said %q", p.log)
			}
		})
	}
}

// After a reload the old agent is left in the middle of its watch, and the whole list comes from the
// new one, though its version is lower and the environment still names the old one.
func TestAReloadFollowsTheNewAgentAtOnce(t *testing.T) {
	before, after := &fake.Backend{}, &fake.Backend{}
	old, list := backends(t, before, after)
	old.SetVersion(1000)
	old.SetEndpoints(list[0])
	fresh := &fake.Discovery{}
	if err := fresh.Listen("127.0.0.1:0", list[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	p := start(t, setup{discovery: old.Addr(), known: list[:1], env: []string{"PROXY_DISCOVERY=" + old.Addr()}})
	held := p.up(open(""))
	until(t, "the old agent is watched", func() bool { return old.WaitingCalls() > 0 })
	asked := time.Now()
	p.reload(setup{discovery: fresh.Addr(), known: list[:1]})
	held.hear("MOVE") // its backend is not in the new list
	if took := time.Since(asked); took > 3*time.Second {
		t.Errorf("the new list was taken after %v", took)
	}
	p.up(open(""))
	if len(after.OpenLines()) != 1 || len(before.OpenLines()) != 1 {
		t.Errorf("%d opens at the old backend, %d at the new", len(before.OpenLines()), len(after.OpenLines()))
	}
	if n := old.WaitingCalls(); n != 0 {
		t.Errorf("%d calls are still out at the old agent", n)
	}
}

func TestAReloadUnderLoadDisturbsNobody(t *testing.T) {
	b := &fake.Backend{}
	p, d, list := serving(t, setup{}, b)
	other := &fake.Discovery{}
	if err := other.Listen("127.0.0.1:0", list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	var held []*client
	for range 10 {
		held = append(held, p.up(open("")))
	}
	for i := range 6 {
		at := []string{other.Addr(), d.Addr()}[i%2]
		if i == 4 { // nobody answers there
			at = "127.0.0.1:9"
		}
		p.reload(setup{discovery: at, known: list})
		for _, c := range held {
			c.say("still " + strconv.Itoa(i))
			c.hear("echo still " + strconv.Itoa(i))
		}
		held = append(held, p.up(open("")))
		p.logs(`"msg":"configuration reloaded"`, i+1)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.reload(setup{discovery: d.Addr(), known: list}) // while it leaves, too
	for _, c := range held {
		c.hear("MOVE")
	}
	if err := p.ended(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestAnUnsoundFileOnReloadKeepsTheRunningConfiguration(t *testing.T) {
	p, d, list := serving(t, setup{}, &fake.Backend{})
	for i, r := range [][2]string{{`"seed"`, `seed`}, {`"no`, `"no`}, {`"full":true`, `"full":"yes"`},
		{`"memory_mb":192`, `"memory_mb":-1`}, {d.Addr(), "nowhere"}} {
		if i == 1 { // no file at all
			if err := os.Remove(p.path); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		} else {
			p.reload(setup{discovery: d.Addr(), known: list, replace: r})
		}
		p.logs(`"msg":"configuration not taken, the running one stays"`, i+1)
		p.up(open(""))
	}
	p.reload(setup{discovery: d.Addr(), known: list, sockets: 512, replace: [2]string{`"on-time-ms":500`, `"on-time-ms":400`}})
	p.logs(`"taken":["limits","settings"]`, 1)
}

// turnedAway checks that a bad client hears an error or a close in time, whatever it goes on sending.
func turnedAway(t *testing.T, c *client, within time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	got, err := c.in.ReadString('\n')
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("neither an answer nor a close after %v", within)
	} else if err == nil && got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
		t.Errorf("heard %q", got)
	}
}

func TestASilentCrowdKeepsNobodyOut(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	held := p.up(open(""))
	var crowd []*client
	for range 300 {
		crowd = append(crowd, p.dial())
	}
	for range 10 {
		asked := time.Now()
		p.up(open(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	for _, c := range crowd {
		turnedAway(t, c, 3*time.Second)
	}
	held.say("still")
	held.hear("echo still")
}

func TestEndlessInputIsCutOff(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	held := p.up(open(""))
	for _, what := range []string{strings.Repeat("k", 64<<10), strings.Repeat("PING\r\n", 8<<10),
		strings.Repeat("frob 1\r\n", 8<<10), "OPEN " + strings.Repeat("\x00\xff", 32<<10)} {
		for range 4 { // 60 MB each, at full speed
			c := p.dial()
			go func() {
				for range 60 << 20 / len(what) {
					if _, err := io.WriteString(c, what); err != nil {
						return
					}
				}
			}()
			if what[0] == 'P' { // those are answered until they are too many
				for range 16 {
					c.hear("PONG")
				}
			}
			turnedAway(t, c, 3*time.Second)
		}
		held.say("still")
		held.hear("echo still")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if most, _ := strconv.Atoi(string(m[1])); !raceEnabled && most > 32<<10 {
		t.Errorf("the relay held %d KiB", most)
	}
}

// A client's system that has no room yet for what it was told holds that back at the relay. A relay that closes at once,
// since the client never stops sending, takes it back.
func TestAClientThatNeverStopsHearsAllThatItWasTold(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	narrow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return err
	}}
	conn, err := narrow.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
	_ = c.SetDeadline(time.Now().Add(patience))
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // of the half second that it is owed
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("PING\r\n", 1<<10))
	}
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		t.Errorf("cut off with %v before it can have heard, not held up", err)
	}
	for range 16 {
		c.hear("PONG")
	}
	c.hear("ERR")
	p.up(open(""))
}

func TestWhatComesBeforeTheAnswerIsBadInput(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string { return nil }}
	p, _, _ := serving(t, setup{}, b)
	c := p.dial()
	c.say(open("") + "\r\n" + open("")) // both at once
	turnedAway(t, c, 3*time.Second)
	if n := len(b.OpenLines()); n != 0 {
		t.Errorf("%d opens came to a backend", n)
	}
	c = p.dial()
	c.say(open(""))
	until(t, "the open comes to the backend", func() bool { return len(b.OpenLines()) > 0 })
	asked := time.Now()
	c.say("more")
	c.hear("ERR")
	if took := time.Since(asked); took > time.Second {
		t.Errorf("turned away after %v", took)
	}
	c.ends()
}

func TestHalfACommandIsAnswered(t *testing.T) {
	p, _, _ := serving(t, setup{}, &fake.Backend{})
	c := p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	c.hear("ERR")
	c.ends()
	c = p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	turnedAway(t, c, 3*time.Second)
}

// Hundreds come again as soon as they are turned away; usual clients are served all the while.
func TestAFloodOfBadClientsKeepsNobodyOut(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for i := range 100 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(patience))
				_, _ = io.WriteString(c, []string{"frob\r\n", "OPEN 1 2 c=cat,d=1\r\n", "OPEN \x00"}[i%3])
				_, _ = io.ReadAll(c)
				_ = c.Close()
			}
		}()
	}
	for range 20 {
		asked := time.Now()
		p.up(open(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	close(stop)
	flood.Wait()
}

func TestAnIdInUseHarmsItsHolderNever(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	line := open("")
	held := p.up(line)
	for range 3 {
		c := p.dial()
		c.say(strings.Replace(line, "7f3a9c21e0b4d655", "00000000e0b4d655", 1))
		c.hear("ERR")
		c.ends()
		held.say("still")
		held.hear("echo still")
	}
	if n := len(b.OpenLines()); n != 1 {
		t.Errorf("%d opens came to the backend", n)
	}
}

// A backend closes on what it cannot read. That says nothing of the backend: nobody else is moved off it.
func TestAnEndOfTheClientsOwnMakingIsNoSignOfTheBackend(t *testing.T) {
	p := raw(t, func(c net.Conn, in *bufio.Reader) {
		for {
			l, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if l == "junk\r\n" {
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.WriteString(c, l)
		}
	})
	up := func() *client {
		c := p.dial()
		c.say(open(""))
		c.hear("UP here")
		return c
	}
	var others []*client
	for range 8 {
		others = append(others, up())
	}
	for range 3 {
		c := up()
		c.say("junk")
		if _, err := c.in.ReadString('\n'); err == nil {
			t.Fatal("the connection goes on")
		}
		for range 20 {
			for _, o := range others {
				o.say("still")
				o.hear("still")
			}
		}
	}
}
