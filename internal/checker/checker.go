// Package checker verifies the relay's invariants from outside. It sees what an
// observer on the network would see: the bytes on the relays' sides of their
// connections, when and how those connections end, and what discovery told which
// relay. It shares no code with the relay, parses the protocol lines by itself and
// never queries a relay.
//
// A driver reports events to a Checker (RelayUp, Told, Client.Got, Backend.Wrote
// and so on) and reads the violations from Checker.Broken. A Checker is not safe
// for concurrent use. Times are offsets on the clock that is given to New.
package checker

import (
	"bytes"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"
)

// Effects of a class: which of its requests may be sent again once an attempt may have run.
const (
	Safe   = iota // all, as often as attempts are allowed
	Keyed         // within Class.Window, and within a cell if Class.Cell is set
	Unsafe        // none
)

// Class is what a rule needs of a class of requests.
type Class struct {
	Name     string
	GiveUp   time.Duration // how long a client waits that names no patience of its own
	Effect   int           // Safe, Keyed or Unsafe
	Cell     bool          // a keyed repeat is discarded within a cell only, else everywhere
	Window   time.Duration // in which a keyed request may be repeated
	OnTime   time.Duration // set up within this counts as on time
	Attempts int           // fewer than the installation's, by its timing; 0: not
	Total    time.Duration // answered within this, by its timing; 0: its client's patience
}

// Rules are the figures that are held.
type Rules struct {
	Classes   []Class
	Attempts  int           // at most, for one request
	Slack     time.Duration // of the final answer, all allowances included
	Grace     time.Duration // a drain's, all allowances included
	ToldBy    time.Duration // what a backend's list has counts as told after this
	Held      time.Duration // no line waits for longer
	Silent    time.Duration // a backend that brings nothing back
	Left      time.Duration // nothing is begun for a client that left longer ago, allowances included
	FirstLine time.Duration // who says nothing whole has an answer within this, allowances included
	ColdFrom  float64       // the share of its capacity that a backend starts with
	WarmUp    time.Duration // until it has all of it
	FallTimes float64       // a cold backend may get so many times what it can do, within FallSpan
	FallSpan  time.Duration
	Opens     float64       // a second, what a warm backend can do
	Onlooker  time.Duration // what one party did may be heard of so much later than what another did after it; 0: never
}

// Broken is one rule broken.
type Broken struct {
	Rule string        // such as "overlap"
	At   time.Duration // since the checker was made
	Text string        // what was seen
}

func (b Broken) String() string { return fmt.Sprintf("%s at %.6f: %s", b.Rule, b.At.Seconds(), b.Text) }

// Checker watches one run.
type Checker struct {
	rules    Rules
	now      func() time.Duration
	epoch    time.Duration
	in       func(time.Duration, func())
	Broken   []Broken       // the first 20 violations
	Counts   map[string]int // how often what came up, for reports
	clients  []*Client      // open ones
	back     []*Backend
	requests map[string]*request
	receipts map[string]*Backend
	relays   []relayState
	backends []backendState
}

type relayState struct {
	life   int
	proc   int // counts processes: an upgrade brings another, and the relay is the same
	upAt   time.Duration
	up     bool
	agent  string
	since  time.Duration // following it
	told   map[string]mark
	has    map[string]map[string]mark // by agent's address
	out    map[string]time.Duration   // when an agent was last silent; far away: still
	starts map[string]time.Duration   // of the backends, as told
	toldAt time.Duration              // when the list last changed
	list   map[string]string          // it, as it stands
	seen   Seen
	rules  terms         // by which requests are taken
	were   terms         // until the last reload that changed them
	turned time.Duration // when that was
	drain  time.Duration // when it was told to send clients away; 0: it was not
	paused bool          // its process is stopped by whoever runs it
	woke   time.Duration // when it last went on; 0: it never was stopped
}

// Paused says that a relay's process is stopped, or goes on. What it could not do meanwhile is not held against it.
func (c *Checker) Paused(relay int, on bool) {
	r := &c.relays[relay]
	r.paused = on
	if !on {
		r.woke = c.now()
	}
}

// slept says whether a relay's process was stopped at any time since, or within a while before.
func (c *Checker) slept(relay int, since time.Duration) bool {
	r := &c.relays[relay]
	return r.paused || r.woke != 0 && r.woke+c.rules.Held >= since
}

// terms are a relay's own part of the rules, which a reload may change.
type terms struct {
	classes  []Class
	attempts int
}

func (t *terms) class(name string) *Class {
	for i := range t.classes {
		if t.classes[i].Name == name {
			return &t.classes[i]
		}
	}
	return nil
}

// Retuned says that a relay is told of other classes and attempts. What was taken before keeps the old ones; what
// comes within a while may be under either.
func (c *Checker) Retuned(relay int, classes []Class, attempts int) {
	r := &c.relays[relay]
	r.were, r.rules, r.turned = r.rules, terms{classes, attempts}, c.now()
}

// turning is how long after a reload a request may be under the old rules or the new.
const turning = 1200 * time.Millisecond

// taken finds the terms of a request that comes now: its class, nil if there is none, and its attempts.
func (r *relayState) taken(name string, now time.Duration) (*Class, int) {
	class, attempts := r.rules.class(name), r.rules.attempts
	if r.turned == 0 || now-r.turned > turning {
		return class, attempts
	}
	attempts = max(attempts, r.were.attempts)
	switch was := r.were.class(name); {
	case class == nil:
		class = was
	case was != nil && *was != *class: // what either allows
		either := *class
		either.Effect, either.GiveUp, either.OnTime = Safe, max(was.GiveUp, class.GiveUp), max(was.OnTime, class.OnTime)
		class = &either
	}
	return class, attempts
}

// Seen is what an onlooker counted of a relay since its process started.
type Seen struct {
	Success, Overload, Error map[string]int // final answers by class
	Loose                    int            // requests that may be counted in any way: the client had gone, or was at fault
	Attempts                 int
	Standing, Open           int  // connections that certainly have not ended; that may not have
	Targets, Draining        int  // in the list
	Settled                  bool // the list has not changed for a while
}

// Seen counts a relay's life up to now.
func (c *Checker) Seen(relay int) Seen {
	r := &c.relays[relay]
	s := r.seen
	for _, x := range c.clients {
		if x.relay != relay || x.proc != r.proc || !x.live() || x.req == nil || x.req.class == nil || x.answered && x.pair == nil {
			continue
		}
		s.Open++
		if x.ended == 0 && x.pair != nil && x.pair.ended == 0 && !x.odd { // before UP it may wait to be taken
			s.Standing++
		}
	}
	for _, state := range r.list {
		switch state {
		case "draining":
			s.Draining++
			s.Targets++
		case "ready":
			s.Targets++
		}
	}
	s.Settled = c.now()-r.toldAt > 500*time.Millisecond
	return s
}

// Drained says that a relay is told to send its clients away, or to take them again.
func (c *Checker) Drained(relay int, on bool) {
	r := &c.relays[relay]
	if !on {
		r.drain = 0
		return
	}
	if r.drain != 0 {
		return
	}
	r.drain = c.now()
	at, life := r.drain, r.life
	c.in(drainedBy, func() {
		if r.drain != at || r.life != life || !r.up {
			return
		}
		for _, x := range c.clients {
			if x.relay == relay && x.live() && x.pair != nil && !x.moved && x.ended == 0 && x.pair.ended == 0 && !x.blocked {
				c.fail("drained", "relay %d still holds client %d, %v after it was told to drain", relay, x.id, c.now()-at)
			}
		}
	})
}

// drainedBy is how long after a drain's call nobody is held any more.
const drainedBy = 4 * time.Second

type mark struct {
	state string
	at    time.Duration
}

type backendState struct {
	name    string
	cell    int
	started time.Duration
	opens   []time.Duration // in the last span
}

// New starts a checker. now is the clock, in the way to be called back later.
func New(rules Rules, relays int, now func() time.Duration, in func(time.Duration, func())) *Checker {
	c := &Checker{rules: rules, now: now, epoch: now(), in: in, Counts: map[string]int{}, requests: map[string]*request{},
		receipts: map[string]*Backend{}, relays: make([]relayState, relays)}
	for i := range c.relays {
		c.relays[i].rules = terms{rules.Classes, rules.Attempts}
		c.relays[i].has, c.relays[i].out = map[string]map[string]mark{}, map[string]time.Duration{}
	}
	return c
}

const far = 1 << 62

func (c *Checker) fail(rule, format string, args ...any) {
	if len(c.Broken) < 20 {
		c.Broken = append(c.Broken, Broken{rule, c.now() - c.epoch, fmt.Sprintf(format, args...)})
	}
}

// --- who is who --------------------------------------------------------------------

// AddBackend names the next backend, in their order.
func (c *Checker) AddBackend(name string, cell int) {
	c.backends = append(c.backends, backendState{name: name, cell: cell})
}

// Started says that a backend's process is new.
func (c *Checker) Started(backend int, at time.Duration) {
	c.backends[backend].started, c.backends[backend].opens = at, nil
}

// RelayUp says that a relay's process has started and whom it follows; known is what
// its configuration says of the backends.
func (c *Checker) RelayUp(relay int, agent string, known map[string]string) {
	r := &c.relays[relay]
	r.life++
	r.up, r.upAt, r.agent, r.since, r.told, r.starts = true, c.now(), agent, c.now(), map[string]mark{}, map[string]time.Duration{}
	r.toldAt, r.drain, r.list = c.now(), 0, maps.Clone(known)
	r.seen = newSeen()
	r.proc++
	for name, state := range known {
		r.told[name] = mark{state, c.now()}
	}
}

// Upgraded says that another process of a relay takes those who come. To the rules the two are one relay; the
// figures are the new one's own, of what comes to it.
func (c *Checker) Upgraded(relay int) {
	r := &c.relays[relay]
	r.proc++
	r.seen = newSeen()
}

func newSeen() Seen {
	return Seen{Success: map[string]int{}, Overload: map[string]int{}, Error: map[string]int{}}
}

// RelayDown says that a relay's process has ended or its machine has vanished.
func (c *Checker) RelayDown(relay int) { c.relays[relay].up = false }

// Reloaded says that a relay has been told to follow another agent.
func (c *Checker) Reloaded(relay int, agent string) {
	r := &c.relays[relay]
	if r.agent != agent {
		r.agent, r.since = agent, c.now()
	}
}

// Told says that an answer of discovery has arrived at a relay.
func (c *Checker) Told(relay int, full bool, states map[string]string, starts map[string]time.Duration) {
	r := &c.relays[relay]
	r.toldAt = c.now()
	for name, at := range starts {
		r.starts[name] = at
	}
	if full {
		r.list = map[string]string{}
	}
	maps.Copy(r.list, states)
	if full {
		for name, m := range r.told {
			if _, ok := states[name]; !ok && m.state != "gone" {
				r.told[name] = mark{"gone", c.now()}
			}
		}
	}
	for name, s := range states {
		if m, ok := r.told[name]; !ok || m.state != s && !(m.state != "ready" && s != "ready") {
			r.told[name] = mark{s, c.now()}
			if s != "ready" {
				c.meets(relay, name)
			}
		}
	}
}

// meets counts the attempts that are out at a backend when a relay hears that it wants nothing new.
func (c *Checker) meets(relay int, name string) {
	for _, b := range c.back {
		if b.relay == relay && b.req != nil && b.answer == "" && c.backends[b.backend].name == name {
			c.Counts["drain met an attempt in flight"]++
		}
	}
}

// AgentHas says what an agent has learnt; AgentOut when it falls silent and is back.
func (c *Checker) AgentHas(relay int, agent, backend, state string) {
	r := &c.relays[relay]
	if r.has[agent] == nil {
		r.has[agent] = map[string]mark{}
	}
	if m, ok := r.has[agent][backend]; !ok || m.state != state && !(m.state != "ready" && state != "ready") {
		r.has[agent][backend] = mark{state, c.now()}
	}
}

// AgentOut says when an agent falls silent and when it is back.
func (c *Checker) AgentOut(relay int, agent string, out bool) {
	c.relays[relay].out[agent] = c.now()
	if out {
		c.relays[relay].out[agent] = far
	}
}

// closed is when a relay was told that a backend wants nothing new; ok is false
// if it may still send.
func (c *Checker) closed(relay int, backend string) (at time.Duration, ok bool) {
	r := &c.relays[relay]
	if m, told := r.told[backend]; told && m.state != "ready" {
		return m.at, true
	}
	if m, has := r.has[r.agent][backend]; has && m.state != "ready" {
		at := max(m.at, r.since, r.upAt, r.out[r.agent]) + c.rules.ToldBy
		return at, c.now() > at
	}
	return 0, false
}

// --- requests ------------------------------------------------------------------------

type request struct {
	id       string
	class    *Class
	most     int // attempts
	relay    int
	client   *Client
	at       time.Duration // when it was whole
	by       time.Duration // the latest time for the final answer
	attempts int
	out      *Backend // the attempt that is out
	ran      *Backend // an attempt that may have acted
	ranAt    time.Duration
}

// lines cuts a stream into lines; a part of one stays.
type lines struct{ part []byte }

func (l *lines) feed(b []byte, each func(line string)) {
	l.part = append(l.part, b...)
	for {
		i := bytes.IndexByte(l.part, '\n')
		if i < 0 {
			return
		}
		line := string(l.part[:i+1])
		l.part = l.part[i+1:]
		each(line)
	}
}

// Client is the relay's side of a client's connection.
type Client struct {
	c          *Checker
	id         int
	relay      int
	life       int
	proc       int
	came       time.Duration
	sent       lines // of the client
	got        lines // by the client
	req        *request
	pings      int  // without an answer
	told       bool // ERR to one of them
	spoken     bool // said a whole first line that was no probe
	odd        bool // and more before its answer, or what is no line of the protocol
	answered   bool
	answeredAt time.Duration
	pair       *Backend // after UP
	moved      bool
	ended      byte // by the client: 0, 'F', 'R'
	endedAt    time.Duration
	done       bool // by the relay
	blocked    bool
	blockedAt  time.Duration // when it last was
	owed       []stamp       // the client's lines that the backend is still to get
}

type stamp struct {
	at time.Duration
	n  int
}

// Process is the number of a relay's newest process.
func (c *Checker) Process(relay int) int { return c.relays[relay].proc }

// Client watches a connection that a process of a relay has accepted.
func (c *Checker) Client(id, relay, process int) *Client {
	x := &Client{c: c, id: id, relay: relay, life: c.relays[relay].life, proc: process, came: c.now()}
	c.clients = append(c.clients, x)
	c.in(c.rules.FirstLine, func() {
		if !x.spoken && !x.answered && !x.told && x.pings == 0 && x.live() && x.ended == 0 && !c.slept(x.relay, x.came) {
			c.fail("no-answer", "client %d said nothing whole and was told nothing", id)
		}
	})
	return x
}

// live says whether its relay's process still runs and it is open.
func (x *Client) live() bool {
	r := &x.c.relays[x.relay]
	return r.up && r.life == x.life && !x.done
}

// Got takes in what has arrived from the client.
func (x *Client) Got(b []byte) {
	if x.pair != nil && !x.done {
		x.owed = append(x.owed, stamp{x.c.now(), len(b)})
		x.pair.waits(b)
		return
	}
	was := x.spoken
	x.sent.feed(b, x.said)
	x.odd = x.odd || x.spoken && !x.answered && (was || len(x.sent.part) > 0)
}

func (x *Client) said(line string) {
	c := x.c
	word, _, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	if x.spoken {
		x.odd = true
		return
	}
	if word == "PING" || word == "STATS" {
		x.pings++
		return
	}
	x.spoken = true
	r := &request{relay: x.relay, client: x}
	words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	patience := c.rules.FirstLine
	if len(words) == 4 && words[0] == "OPEN" {
		r.id = words[1]
		names := map[string]bool{}
		for _, p := range strings.Split(words[3], ",") {
			name, value, _ := strings.Cut(p, "=")
			x.odd = x.odd || names[name]
			names[name] = true
			switch name {
			case "c":
				r.class, r.most = c.relays[x.relay].taken(value, c.now())
			case "d":
				if ms, err := strconv.Atoi(value); err == nil {
					patience = time.Duration(ms) * time.Millisecond
				}
			}
		}
		if r.class != nil && c.requests[r.id] == nil {
			c.requests[r.id] = r
			c.Counts["request "+r.class.Name]++
			r.at = c.now()
			if t := r.class.Total; t > 0 {
				patience = min(patience, t)
			}
		}
	}
	x.req = r
	r.by = c.now() + patience + c.rules.Slack
	c.in(r.by-c.now()+time.Nanosecond, func() {
		if !x.answered && x.live() && x.ended == 0 && !c.slept(x.relay, x.came) {
			c.fail("no-answer", "client %d's request %s has no answer in time", x.id, r.id)
		}
	})
}

// counted takes in a final answer for the figures.
func (x *Client) counted(word string) {
	r := &x.c.relays[x.relay]
	if x.req == nil || x.req.class == nil || r.life != x.life || r.proc != x.proc {
		return
	}
	switch name := x.req.class.Name; {
	case x.odd || x.ended != 0:
		r.seen.Loose++
	case word == "UP":
		r.seen.Success[name]++
	case word == "BUSY":
		r.seen.Overload[name]++
	default:
		r.seen.Error[name]++
	}
}

// GotEnd hears that the client has ended.
func (x *Client) GotEnd(how int32) {
	if x.ended == 0 {
		x.endedAt = x.c.now()
		if r := &x.c.relays[x.relay]; !x.answered && r.life == x.life && r.proc == x.proc {
			r.seen.Loose++
		}
	}
	x.ended = 'F'
	if how == 2 {
		x.ended = 'R'
	}
}

// Blocked hears that the client takes nothing, or does again.
func (x *Client) Blocked(on bool) { x.blocked, x.blockedAt = on, x.c.now() }

// Wrote takes in what the relay has written to the client.
func (x *Client) Wrote(b []byte) {
	c := x.c
	if x.pair != nil {
		x.pair.passed(b, x)
		return
	}
	x.got.feed(b, func(line string) {
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		switch {
		case x.answered:
			c.fail("after-answer", "client %d got %q after its final answer", x.id, line)
			return
		case x.pings > 0 && (word == "PONG" || word == "ERR"): // ERR: no relay to be used yet, or too many
			x.probed(word)
			return
		}
		x.answered, x.answeredAt = true, c.now()
		x.counted(word)
		c.Counts["answer "+word]++
		x.timely(word, line)
		if word == "UP" {
			x.join(line, rest)
		}
	})
	if len(x.got.part) > 0 && x.pair != nil {
		part := x.got.part
		x.got.part = nil
		x.pair.passed(part, x)
	}
}

// probed takes in the answer to one of the client's probes.
func (x *Client) probed(word string) {
	c := x.c
	x.pings--
	x.told = x.told || word == "ERR"
	if word == "PONG" && c.relays[x.relay].drain != 0 && c.relays[x.relay].life == x.life {
		c.fail("drained", "relay %d said yes to a probe though it is drained", x.relay)
	}
}

// timely holds a final answer to the time that its request had, and counts what was served, also on time.
func (x *Client) timely(word, line string) {
	c, r := x.c, x.req
	if r == nil {
		return
	}
	if c.now() > r.by && !c.slept(x.relay, x.came) {
		c.fail("late-answer", "client %d got %q %v late", x.id, line, c.now()-r.by)
	}
	if r.class != nil && (word == "UP" || word == "BYE") {
		c.Counts["served "+r.class.Name]++
		if c.now()-r.at <= r.class.OnTime {
			c.Counts["on time "+r.class.Name]++
		}
	}
}

// join pairs the client with the backend that said the rest of this UP, which must have been said to this client.
func (x *Client) join(line, rest string) {
	c := x.c
	pair := c.receipts[rest]
	switch {
	case pair == nil:
		c.fail("made-up", "client %d got %q, which no backend said", x.id, line)
		pair = &Backend{c: c, fake: true}
	case pair.req == nil || pair.req.client != x:
		c.fail("made-up", "client %d got %q, said to another", x.id, line)
	case pair.client != nil:
		c.fail("made-up", "client %d got %q, already given", x.id, line)
	}
	x.pair, pair.client = pair, x
}

// WroteEnd hears that the relay has ended its side, or closed the connection.
func (x *Client) WroteEnd(how int32) {
	c := x.c
	if x.done {
		return
	}
	x.done = true
	c.clients = remove(c.clients, x)
	r := &c.relays[x.relay]
	if !r.up || r.life != x.life {
		return // its process was killed: the system did it
	}
	if !x.answered && !x.told && x.ended == 0 {
		c.fail("no-answer", "client %d was left without a word", x.id)
	}
	p := x.pair
	if p == nil || p.fake {
		return
	}
	if !x.moved && x.ended == 0 && p.ended == 0 && !p.odd && c.now()-p.heard < time.Second+c.rules.Slack &&
		!(x.blocked || c.now()-x.blockedAt < time.Second) {
		c.fail("cut-off", "client %d was cut off without MOVE from a backend that answers", x.id)
	}
}

// --- attempts ------------------------------------------------------------------------

// Backend is the relay's side of a connection to a backend.
type Backend struct {
	c        *Checker
	id       int
	relay    int
	life     int
	backend  int
	sent     lines // by the relay
	got      lines // by the backend
	first    bool  // the relay has said its first line
	answer   string
	req      *request
	client   *Client
	fake     bool
	odd      bool // broke the protocol
	ended    byte
	endedAt  time.Duration
	done     bool
	heard    time.Duration // when bytes last came
	unanswer time.Duration // since when a line of the client's is without an answer; 0: none
	blocked  bool
	stuckAt  time.Duration
	lines    []byte  // the backend's that the client is to get
	due      []stamp // and since when
	asked    []byte  // the client's that the backend is to get
	begun    bool
	inLine   bool // the client has part of a line
}

// Backend watches a connection that a relay has opened.
func (c *Checker) Backend(id, relay, backend int) *Backend {
	b := &Backend{c: c, id: id, relay: relay, life: c.relays[relay].life, backend: backend, heard: c.now()}
	c.back = append(c.back, b)
	return b
}

// Wrote takes in what the relay has written.
func (b *Backend) Wrote(p []byte) {
	c := b.c
	if b.first && b.answer != "" && b.client != nil {
		b.relayed(p)
		return
	}
	if !b.begun && p[0] == 'O' { // for drains the first byte counts
		b.begun = true
		name := c.backends[b.backend].name
		if at, ok := c.closed(b.relay, name); ok && c.now() > at+c.rules.Grace && !c.slept(b.relay, at) {
			c.fail("drain", "relay %d sent to %s %v after it was told to stop", b.relay, name, c.now()-at)
		} else if ok {
			c.Counts["sent within a drain's grace"]++
		}
	}
	b.sent.feed(p, func(line string) {
		if !strings.HasPrefix(line, "OPEN ") || b.first {
			return
		}
		b.first = true
		b.attempt(strings.Split(strings.TrimRight(line, "\r\n"), " "))
	})
}

func (b *Backend) attempt(words []string) {
	c := b.c
	if len(words) != 4 {
		c.fail("made-up", "a backend got %q", words)
		return
	}
	r := c.requests[words[1]]
	if r == nil || r.relay != b.relay {
		c.fail("made-up", "a backend got request %s, which no client sent there", words[1])
		return
	}
	b.req = r
	c.Counts["attempt"]++
	if s := &c.relays[b.relay]; r.client.proc == s.proc {
		s.seen.Attempts++
	}
	c.Counts["attempt "+r.class.Name]++
	most := r.most
	if n := r.class.Attempts; n > 0 {
		most = min(most, n)
	}
	if r.attempts++; r.attempts > most {
		c.fail("attempt-limit", "request %s was sent %d times", r.id, r.attempts)
	}
	if r.attempts > 1 {
		c.Counts["repeated attempt"]++
	}
	if r.out != nil {
		c.fail("overlap", "request %s was sent again while an attempt was out", r.id)
	}
	if r.client.answered && c.now()-r.client.answeredAt >= c.rules.Onlooker {
		c.fail("after-answer", "request %s was sent after its final answer", r.id)
	}
	if x := r.client; x.ended != 0 && c.now()-x.endedAt > c.rules.Left && !c.slept(b.relay, x.endedAt) {
		c.fail("left", "request %s was sent %v after its client had left", r.id, c.now()-x.endedAt)
	}
	r.out = b
	s := &c.backends[b.backend]
	c.repeatable(r, s)
	c.cold(s, b.relay)
}

// repeatable holds one more attempt, at a backend, to what the class allows once an earlier one may have run.
func (c *Checker) repeatable(r *request, s *backendState) {
	if r.ran == nil {
		return
	}
	switch old := &c.backends[r.ran.backend]; {
	case r.class.Effect == Unsafe:
		c.fail("unsafe-repeat", "unsafe request %s was sent again though it may have run", r.id)
	case r.class.Effect == Keyed && c.now()-r.ranAt > r.class.Window:
		c.fail("keyed-repeat", "keyed request %s was sent again past its window", r.id)
	case r.class.Effect == Keyed && r.class.Cell && old.cell != s.cell:
		c.fail("keyed-repeat", "keyed request %s was sent again outside its scope", r.id)
	}
}

// cold takes in one more OPEN at a backend and holds it to what that can bear.
func (c *Checker) cold(s *backendState, relay int) {
	now := c.now()
	if s.started == 0 || now-s.started > c.rules.WarmUp || c.relays[relay].starts[s.name] != s.started {
		return // warm, or a start that this relay has not been told of
	}
	c.Counts["sent to a cold backend"]++
	s.opens = append(s.opens, now)
	for len(s.opens) > 0 && now-s.opens[0] > c.rules.FallSpan {
		s.opens = s.opens[1:]
	}
	warm := c.rules.ColdFrom + (1-c.rules.ColdFrom)*float64(now-s.started)/float64(c.rules.WarmUp)
	most := c.rules.FallTimes * warm * c.rules.Opens * c.rules.FallSpan.Seconds()
	if float64(len(s.opens)) > most {
		c.fail("cold", "%s got %d requests in %v, %.1f at most while cold", s.name, len(s.opens), c.rules.FallSpan, most)
		s.opens = nil
	}
}

// Got takes in what has arrived from the backend.
func (b *Backend) Got(p []byte) {
	c := b.c
	b.heard = c.now()
	if b.answer == "UP" {
		b.unanswer = 0
		b.lines = append(b.lines, p...)
		b.due = append(b.due, stamp{c.now(), len(p)})
		return
	}
	if b.req == nil {
		return // a probe's
	}
	b.got.feed(p, func(line string) {
		if b.answer != "" {
			if b.answer == "UP" {
				b.lines = append(b.lines, line...)
				b.due = append(b.due, stamp{c.now(), len(line)})
			}
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		b.answer = word
		c.Counts["backend said "+word]++
		if word == "UP" {
			c.receipts[rest] = b
		}
		b.over(word != "BUSY")
	})
	if b.answer == "UP" && len(b.got.part) > 0 {
		b.lines = append(b.lines, b.got.part...)
		b.due = append(b.due, stamp{c.now(), len(b.got.part)})
		b.got.part = nil
	}
}

// over is the end of an attempt, which may have acted or not.
func (b *Backend) over(ran bool) {
	r := b.req
	if r == nil || r.out != b {
		return
	}
	r.out = nil
	if ran && r.ran == nil {
		r.ran, r.ranAt = b, b.c.now()
	}
}

// GotEnd hears that the backend has ended.
func (b *Backend) GotEnd(how int32) {
	if b.ended == 0 {
		b.endedAt = b.c.now()
	}
	b.ended = 'F'
	if how == 2 {
		b.ended = 'R'
		b.due = nil // what the relay had not read is gone; what it had may still go out
	}
	b.over(true)
}

// Blocked hears that the backend takes nothing, or does again.
func (b *Backend) Blocked(on bool) { b.blocked, b.stuckAt = on, b.c.now() }

// WroteEnd hears that the relay has ended its side, or closed the connection.
func (b *Backend) WroteEnd(int32) {
	if !b.done {
		b.done = true
		b.c.back = remove(b.c.back, b)
		b.over(true)
	}
}

// waits takes in bytes of the client's that the backend is to get.
func (b *Backend) waits(p []byte) {
	if b.unanswer == 0 && bytes.IndexByte(p, '\n') >= 0 {
		b.unanswer = b.c.now()
	}
	b.asked = append(b.asked, p...)
}

// relayed takes in bytes of the client's that the backend gets.
func (b *Backend) relayed(p []byte) {
	if !bytes.HasPrefix(b.asked, p) {
		b.c.fail("made-up", "a backend got %q, which its client did not say", p)
		return
	}
	b.asked = b.asked[len(p):]
	if x := b.client; x != nil {
		x.owed = b.c.paid(x.owed, len(p), b.blocked || b.c.now()-b.stuckAt < time.Second || b.c.slept(b.relay, b.c.now()-b.c.rules.Silent), "a client's line")
	}
}

// passed takes in bytes that the client gets of this backend.
func (b *Backend) passed(p []byte, x *Client) {
	c := b.c
	if x.moved {
		c.fail("after-answer", "client %d got %q after MOVE", x.id, p)
		return
	}
	n := len(p)
	if n > len(b.lines) || !bytes.Equal(b.lines[:n], p) {
		if string(p) == "MOVE\r\n" && b.inLine {
			c.fail("move-in-line", "client %d got MOVE within a line", x.id)
			return
		}
		if string(p) == "MOVE\r\n" {
			x.moved = true
			c.Counts["moved"]++
			return
		}
		if !b.fake {
			c.fail("made-up", "client %d got %q, its backend said %q", x.id, p, b.lines)
		}
		return
	}
	b.inLine = p[n-1] != '\n'
	b.lines = b.lines[n:]
	b.due = c.paid(b.due, n, x.blocked || c.now()-x.blockedAt < time.Second || c.slept(x.relay, c.now()-c.rules.Silent), "a backend's line")
}

// paid takes n bytes off what is due and holds their waiting to the limit.
func (c *Checker) paid(due []stamp, n int, excused bool, what string) []stamp {
	for n > 0 && len(due) > 0 {
		if wait := c.now() - due[0].at; wait > c.rules.Held && !excused {
			c.fail("held-line", "%s waited for %v", what, wait)
			excused = true
		}
		if n < due[0].n {
			due[0].n -= n
			return due
		}
		n -= due[0].n
		due = due[1:]
	}
	return due
}

func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}

// --- what does not happen --------------------------------------------------------------

// Sweep looks for what should have happened by now.
func (c *Checker) Sweep() {
	for _, x := range c.clients {
		if x.excused() {
			continue
		}
		switch p := x.pair; {
		case p.ended != 0 && c.now()-p.endedAt > c.rules.Held && x.ended == 0:
			c.fail("held-line", "client %d was not told for a second that its backend has ended", x.id)
		case x.ended != 0 && c.now()-x.endedAt > c.rules.Held && !p.done && !p.blocked:
			c.fail("held-line", "a backend was not told for a second that client %d has ended", x.id)
		case p.unanswer != 0 && c.now()-max(p.unanswer, p.heard) > c.rules.Silent && p.ended == 0 && x.ended == 0:
			c.fail("silent", "client %d stays with a backend that says nothing", x.id)
		case len(p.due) > 0 && c.now()-p.due[0].at > c.rules.Held && bytes.IndexByte(p.lines, '\n') >= 0:
			c.fail("held-line", "client %d waits for a line", x.id)
		default:
			continue
		}
		x.blockedAt = c.now() // once is enough
	}
}

// excused says whether nothing can be held against the client's connection now: no backend stands behind it, it has
// ended, the client takes or lately took nothing, or the relay's process was stopped.
func (x *Client) excused() bool {
	c := x.c
	return x.pair == nil || x.pair.fake || !x.live() || x.blocked || c.now()-x.blockedAt < time.Second ||
		c.slept(x.relay, c.now()-c.rules.Silent)
}

// Open returns how many connections of a relay are still open, for the end of a run.
func (c *Checker) Open(relay int) (n int) {
	for _, x := range c.clients {
		if x.relay == relay && x.live() {
			n++
		}
	}
	r := &c.relays[relay]
	for _, b := range c.back {
		if b.relay == relay && b.life == r.life && !b.done {
			n++
		}
	}
	return n
}
