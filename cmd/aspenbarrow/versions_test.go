package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// otherProgramVariable names the path of another build of the program, such as that of the release before. Unset, the
// program under test stands in for both.
const otherExecutableVariable = "ASPENBARROW_OTHER_PROGRAM"

// otherProgram is the path of the other build; empty: the program under test.
func otherExecutable(t *testing.T) string {
	t.Helper()
	path := os.Getenv(otherExecutableVariable)
	if path == "" {
		return ""
	}
	if info, err := os.Stat(path); err != nil || info.IsDir() || info.Mode()&0o111 == 0 {
		t.Fatalf("%s=%s cannot be executed: %v", otherExecutableVariable, path, err)
	}
	return path
}

// traffic is a steady load: clients that open a connection, say lines of which each is to be answered once, and close.
type sessionLoad struct {
	address string
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex // of what follows
	ids     int
	sessionCounts
	firstError error // what the first one lost, refused or left without an answer met
}

type sessionCounts struct {
	up         int // connections
	lines      int // answered
	moved      int // connections that the relay asked to move
	repeated   int // lines said again on a client's next connection, since MOVE came before their answer
	refused    int // connections that the address did not take
	unanswered int // connections whose OPEN had another answer than UP
	lost       int // connections that ended with neither MOVE nor the client's own end, or not in order
	wrong      int // lines that were not the answer to the one said last
}

// run starts the clients: some close after a few lines, the others stay until they are asked to move.
func (l *sessionLoad) run(short, staying int) {
	l.stop = make(chan struct{})
	for i := range short + staying {
		l.clients.Go(func() {
			c := &loadClient{load: l, number: i}
			pace := time.NewTicker(2 * time.Millisecond) // of its arrivals and lines
			defer pace.Stop()
			for !l.stopped(pace) {
				switch {
				case i < short:
					c.runSession(pace, 4)
				default:
					c.runSession(pace, -1)
				}
			}
		})
	}
}

// over waits for the next beat and says whether the load has ended.
func (l *sessionLoad) stopped(pace *time.Ticker) bool {
	select {
	case <-l.stop:
		return true
	case <-pace.C:
		return false
	}
}

func (l *sessionLoad) count(what func(c *sessionCounts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what(&l.sessionCounts)
}

func (l *sessionLoad) countFailure(what func(c *sessionCounts), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	what(&l.sessionCounts)
	if l.firstError == nil {
		l.firstError = err
	}
}

func (l *sessionLoad) counts() sessionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessionCounts
}

func (l *sessionLoad) nextID() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids++
	return l.ids
}

// more waits until so many further connections have been brought up and lines answered.
func (l *sessionLoad) waitForMore(t *testing.T, up, lines int) {
	t.Helper()
	was := l.counts()
	waitFor(t, fmt.Sprintf("%d more connections and %d more lines", up, lines), func() bool {
		now := l.counts()
		return now.up >= was.up+up && now.lines >= was.lines+lines
	})
}

func (l *sessionLoad) stopAndWait() {
	close(l.stop)
	l.clients.Wait()
}

type loadClient struct {
	load     *sessionLoad
	number   int
	answered int  // answered
	pending  bool // the next one, on an earlier connection
}

// connect opens a connection and says so many lines on it, below 0 until it is asked to move, and closes.
func (c *loadClient) runSession(pace *time.Ticker, lines int) {
	l, id, class := c.load, c.load.nextID(), []string{"chat", "order"}[c.number%2]
	conn, err := net.Dial("tcp", l.address)
	if err != nil {
		l.countFailure(func(n *sessionCounts) { n.refused++ }, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "OPEN %016x %016x c=%s,d=2000\r\n", id, c.number, class)
	switch answer, err := in.ReadString('\n'); {
	case err != nil:
		l.countFailure(func(n *sessionCounts) { n.lost++ }, fmt.Errorf("instead of an answer to OPEN: %w", err))
		return
	case answer != fmt.Sprintf("UP %016x\r\n", id):
		l.countFailure(func(n *sessionCounts) { n.unanswered++ }, fmt.Errorf("answer %q to OPEN %016x", answer, id))
		return
	}
	l.count(func(n *sessionCounts) { n.up++ })
	for n := 0; n != lines && !l.stopped(pace); n++ {
		moved, err := c.exchangeLine(conn, in)
		switch {
		case moved:
			l.count(func(n *sessionCounts) { n.moved++ })
			c.close(conn, in)
			return
		case err != nil:
			l.countFailure(func(n *sessionCounts) { n.lost++ }, err)
			return
		}
	}
	c.close(conn, in)
}

// line says the next line and hears its answer, or MOVE before that.
func (c *loadClient) exchangeLine(conn net.Conn, in *bufio.Reader) (moved bool, err error) {
	l, text := c.load, fmt.Sprintf("client %d line %d", c.number, c.answered)
	if c.pending {
		l.count(func(n *sessionCounts) { n.repeated++ })
	}
	c.pending = true
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(conn, text+"\r\n") // where it fails, what came before is read all the same
	answer, heard := in.ReadString('\n')
	switch {
	case heard != nil:
		return false, fmt.Errorf("instead of the answer to %q: %w", text, errors.Join(err, heard))
	case answer == "MOVE\r\n":
		return true, nil
	case answer != "echo "+text+"\r\n":
		l.countFailure(func(n *sessionCounts) { n.wrong++ }, fmt.Errorf("answer %q to %q", answer, text))
	}
	c.answered, c.pending = c.answered+1, false
	l.count(func(n *sessionCounts) { n.lines++ })
	return false, nil
}

// close ends a connection in order and hears that the relay does so too.
func (c *loadClient) close(conn net.Conn, in *bufio.Reader) {
	l := c.load
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil && !errors.Is(err, syscall.ENOTCONN) { // the relay may have gone first
		l.countFailure(func(n *sessionCounts) { n.lost++ }, err)
		return
	}
	rest, err := io.ReadAll(in)
	if err != nil {
		l.countFailure(func(n *sessionCounts) { n.lost++ }, fmt.Errorf("instead of the end: %w", err))
		return
	}
	if text := string(rest); text != "" && text != "MOVE\r\n" {
		l.countFailure(func(n *sessionCounts) { n.wrong++ }, fmt.Errorf("%q before the end", text))
	}
}

// attemptsSeen counts the attempts that backends have seen, by class and request.
func countAttempts(b []*fake.Backend) map[string]map[string]int {
	seen := map[string]map[string]int{"chat": {}, "order": {}}
	form := regexp.MustCompile(`^OPEN (\w+) \w+ c=(\w+),`)
	for _, b := range b {
		for _, line := range b.OpenLines() {
			if m := form.FindStringSubmatch(line); m != nil {
				seen[m[2]][m[1]]++
			}
		}
	}
	return seen
}

var (
	restoredPattern       = regexp.MustCompile(`"msg":"(?:taken over from the old process|state restored from predecessor process)",.*"backends":(\d+),"drained":(true|false)`)
	handedOverPattern     = regexp.MustCompile(`"msg":"handed over to the [^"]*"`)
	failedHandoverPattern = regexp.MustCompile(`"msg":"nothing is (taken|handed) over"`)
)

// succeeded waits for a process's ready answer at its second address: that it serves or that it is drained, as its
// predecessor was, and checks by its log that it has taken over the list of so many backends.
func (p *relayProcess) waitForSuccession(drained bool, backends int) {
	p.t.Helper()
	want := "SUCCESS"
	if drained {
		want = "FAILURE drained"
	}
	waitFor(p.t, "the successor says "+want, func() bool { return strings.HasPrefix(p.callAdmin(p.t, "READY"), want) })
	m := restoredPattern.FindAllStringSubmatch(p.log.String(), -1)
	if len(m) != 1 || m[0][1] != strconv.Itoa(backends) || m[0][2] != strconv.FormatBool(drained) {
		p.t.Fatalf("taken over is %q, wanted are %d backends and drained %v\n%s", m, backends, drained, p.log)
	}
}

var dispatchesPattern = regexp.MustCompile(`(?m)^dispatches=(\d+)`)

// dispatches is how many attempts a process says that it has sent; -1: it does not say.
func (p *relayProcess) dispatchCount() int {
	p.t.Helper()
	if m := dispatchesPattern.FindStringSubmatch(p.callAdmin(p.t, "STATS")); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	return -1
}

// memberOf finds what a relay says of a member by its number.
var memberPattern = regexp.MustCompile(`(?m)^member=(\d+) name=\S+ state=(\w+) .*incarnation=(\d+) `)

type memberView struct {
	state       string
	incarnation uint64
}

// members is what a process holds of the relays, by their numbers.
func (p *relayProcess) members() map[int]memberView {
	out := map[int]memberView{}
	for _, m := range memberPattern.FindAllStringSubmatch(p.callAdmin(p.t, "MEMBERS"), -1) {
		number, _ := strconv.Atoi(m[1])
		incarnation, _ := strconv.ParseUint(m[3], 10, 64)
		out[number] = memberView{m[2], incarnation}
	}
	return out
}

// peerAddresses are the places of so many relays that find out by datagrams who of them is there.
func peerAddresses(t *testing.T, n int) (addresses []string) {
	t.Helper()
	for i := range n { // an address of its own for each, so that nobody else takes the port between
		c, err := net.ListenPacket("udp4", fmt.Sprintf("127.77.0.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, c.LocalAddr().String())
		_ = c.Close()
	}
	return addresses
}

// asMember makes a setup that of one of several relays.
func (s processOptions) asMember(number int, addresses []string) processOptions {
	settings := strings.NewReplacer("MODE", "proxy", `"n-instances": 1`, fmt.Sprintf(`"n-instances": %d`, len(addresses)),
		`"me": 0`, fmt.Sprintf(`"me": %d`, number)).Replace(settingsTemplate)
	s.extraKeys = map[string]any{"name": fmt.Sprintf("n%d", number), "settings": json.RawMessage(settings), "peers": addresses,
		"peer_listen": addresses[number], "membership": map[string]any{"fleet": "versions"}}
	return s
}

// watchMember asks relays again and again what they hold of the first one, until it is told to stop. It returns how often
// they held it for what: a state, or "no answer".
func observeMember(relays []*relayProcess) (stop func() map[string]int) {
	end, done := make(chan struct{}), make(chan struct{})
	held := map[string]int{}
	go func() {
		defer close(done)
		beat := time.NewTicker(20 * time.Millisecond)
		defer beat.Stop()
		for {
			select {
			case <-end:
				return
			case <-beat.C:
			}
			for _, p := range relays {
				if m, ok := p.members()[0]; ok {
					held[m.state]++
				} else {
					held["no answer"]++
				}
			}
		}
	}()
	return func() map[string]int {
		close(end)
		<-done
		return held
	}
}

// oneView waits until a relay and its observers hold all of them alive, and that relay in one and the same incarnation.
func (p *relayProcess) waitForConvergence(observers []*relayProcess) uint64 {
	p.t.Helper()
	var own uint64
	waitFor(p.t, "the relay and its observers have one view", func() bool {
		own = p.members()[0].incarnation
		for _, q := range append([]*relayProcess{p}, observers...) {
			view := q.members()
			if view[0].incarnation != own || own == 0 {
				return false
			}
			for i := range len(observers) + 1 {
				if view[i].state != "alive" {
					return false
				}
			}
		}
		return true
	})
	return own
}

// Processes of two versions of the program restart into each other by turns under a steady load: nobody is refused, no
// connection is broken, each request is answered once, and each successor has the list of backends from its predecessor
// alone and is drained when that one was. To relays of either version, which hear its datagrams, it is there all the time.
func TestUpgrade_BetweenVersions(t *testing.T) {
	const restarts = 6
	programs := []string{otherExecutable(t), ""}
	b := []*fake.Backend{{}, {}, {}}
	p := newRestartSequence(t, processOptions{}, b...)
	addresses := peerAddresses(t, 3)
	var observers []*relayProcess
	for i, path := range programs {
		s := p.options.asMember(i+1, addresses)
		s.executable, s.environment = path, []string{"TMPDIR=" + p.directory, "PROXY_MANAGEMENT=127.0.0.1:0"}
		observers = append(observers, startProcess(t, s))
	}
	p.options = p.options.asMember(0, addresses)
	p.options.executable = programs[0]
	old := p.startNext()
	incarnation := old.waitForConvergence(observers)
	stopWatch := observeMember(observers)
	// From here on there is no list of backends but the one that is handed over.
	p.options.knownEndpoints, p.options.discovery = nil, closedAddress(t)
	l := &sessionLoad{address: old.address}
	l.run(6, 3)
	for i := 1; i <= restarts; i++ {
		l.waitForMore(t, 100, 300)
		drained := i == 3 || i == 4 // once in either direction
		if drained {
			if got := old.callAdmin(t, "DRAIN"); !strings.HasPrefix(got, "SUCCESS") {
				t.Fatalf("restart %d: DRAIN is answered %q", i, got)
			}
		}
		p.options.executable = programs[i%2]
		successor := startProcess(t, p.options)
		successor.waitForSuccession(drained, len(b))
		waitFor(t, "while both run the successor takes all who come", func() bool {
			was, before := old.dispatchCount(), successor.dispatchCount()
			l.waitForMore(t, 50, 20)
			return was >= 0 && old.dispatchCount() == was && successor.dispatchCount() > before
		})
		old.signal(syscall.SIGTERM)
		if err := old.waitForExit(); err != nil {
			t.Fatalf("restart %d: the predecessor: %v", i, err)
		}
		if n := len(handedOverPattern.FindAllString(old.log.String(), -1)); n != 1 {
			t.Errorf("restart %d: the predecessor has logged %d times that it handed over", i, n)
		}
		l.waitForMore(t, 50, 20)
		if drained {
			successor.waitForSuccession(true, len(b))
			if got := successor.callAdmin(t, "UNDRAIN"); !strings.HasPrefix(got, "SUCCESS") {
				t.Fatalf("restart %d: UNDRAIN is answered %q", i, got)
			}
			waitFor(t, "the successor takes clients again", func() bool { return strings.HasPrefix(successor.callAdmin(t, "READY"), "SUCCESS") })
		}
		for _, p := range []*relayProcess{old, successor} {
			if line := failedHandoverPattern.FindString(p.log.String()); line != "" {
				t.Errorf("restart %d: %s", i, line)
			}
		}
		if is := successor.waitForConvergence(observers); is <= incarnation {
			t.Errorf("restart %d: the successor's incarnation is %d, the predecessor's was %d", i, is, incarnation)
		} else {
			incarnation = is
		}
		old = successor
	}
	l.waitForMore(t, 100, 300)
	l.stopAndWait()
	held := stopWatch()
	t.Logf("%d restarts; the relay as its observers held it, by answers: %v", restarts, held)
	for state, n := range held { // a doubt, which a late timer on a busy machine may give rise to, is no verdict
		if state != "alive" && state != "suspect" {
			t.Errorf("the relay was held %s in %d answers of its observers", state, n)
		}
	}
	if held["alive"] == 0 {
		t.Error("the observers never held the relay alive")
	}
	l.check(t, countAttempts(b))
}

// check logs what has come of the load and holds it to what is wanted: backends have seen so many attempts.
func (l *sessionLoad) check(t *testing.T, seen map[string]map[string]int) {
	t.Helper()
	c := l.counts()
	t.Logf("%d connections up, %d lines answered, %d connections moved, %d lines repeated after a move, %d attempts for %d requests that may be repeated; %d lost, %d refused, %d not answered UP, %d answered wrongly",
		c.up, c.lines, c.moved, c.repeated, sum(seen["chat"]), len(seen["chat"]), c.lost, c.refused, c.unanswered, c.wrong)
	if c.lost+c.refused+c.unanswered+c.wrong > 0 {
		t.Errorf("the first that failed: %v", l.firstError)
	}
	for id, n := range seen["order"] {
		if n != 1 {
			t.Errorf("request %s, which may not be repeated, came to backends %d times", id, n)
		}
	}
	if got := len(seen["chat"]) + len(seen["order"]); got != c.up {
		t.Errorf("backends have seen %d requests, %d were answered UP", got, c.up)
	}
}

func sum(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}

// closedAddress is an address at which nobody listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
