package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/simulation"
)

const (
	lineEvery = 2 * time.Second
	lineAim   = 60 * time.Millisecond
	mostTries = 4               // in quick succession
	deadAir   = 9 * time.Second // without a line a client takes its relay for gone
)

// front deals connections out among the relays that it takes for good ones.
type front struct {
	rig  *rig
	mu   sync.Mutex
	good []bool
	life []int // counts changes, so that what was noticed late does not undo what is newer
}

func newFront(r *rig) *front {
	n := len(r.relays)
	return &front{rig: r, good: make([]bool, n), life: make([]int, n)}
}

func (f *front) set(relay int, good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.life[relay]++
	f.good[relay] = good
}

// lost is noticed after a while.
func (f *front) lost(relay int) {
	f.mu.Lock()
	life := f.life[relay]
	f.mu.Unlock()
	f.rig.in(f.rig.ways.between(200*time.Millisecond, 2600*time.Millisecond), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.life[relay] == life {
			f.life[relay]++
			f.good[relay] = false
		}
	})
}

// pick is a relay for a new connection; below 0: there is none.
func (f *front) pick(rng *rand.Rand) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if hot := f.rig.opt.Fleet.HotRelayShare; hot > 0 && f.good[0] && rng.Float64() < hot {
		return 0
	}
	n := 0
	for _, g := range f.good {
		if g {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := rng.IntN(n)
	for i, g := range f.good {
		if g {
			if k == 0 {
				return i
			}
			k--
		}
	}
	return -1
}

// visit is one client's wish for a connection, from when it comes until it goes.
type visit struct {
	key   uint64
	class int
	from  time.Duration
	until time.Duration
	seed  uint64
}

// clients come by an open loop: who comes, when, with which key and for how long is drawn before, whatever the relays
// do, and no client waits for its turn.
type clients struct {
	rig    *rig
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	here   map[*client]bool
	closed bool
}

// plan draws all visits of a run: those that come in the first rush, and who comes later so that as many are there.
func plan(f *simulation.Installation, seed uint64, length time.Duration) []visit {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	stay := func() time.Duration {
		least, most := f.StayRange[0], f.StayRange[1]
		return least + time.Duration(rng.Float64()*float64(most-least))
	}
	hot := rng.Uint64()
	draw := func(from time.Duration, stays time.Duration) visit {
		v := visit{key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)], from: from, until: from + stays, seed: rng.Uint64()}
		if rng.Float64() < f.HotKeyShare {
			v.key = hot
		}
		return v
	}
	var out []visit
	for range f.Clients { // what is left of the stay of those who would be there: long ones are the likelier
		s := stay()
		for rng.Float64() > float64(s)/float64(f.StayRange[1]) {
			s = stay()
		}
		out = append(out, draw(time.Duration(rng.Float64()*float64(f.ArrivalWindow)), time.Duration(rng.Float64()*float64(s))))
	}
	mean := (f.StayRange[0] + f.StayRange[1]).Seconds() / 2
	for t := f.ArrivalWindow.Seconds(); ; {
		t += rng.ExpFloat64() * mean / float64(f.Clients)
		if t >= length.Seconds() {
			return out
		}
		out = append(out, draw(time.Duration(t*float64(time.Second)), stay()))
	}
}

func (cs *clients) begin(r *rig) {
	cs.rig, cs.here = r, map[*client]bool{}
	cs.ctx, cs.cancel = context.WithCancel(r.ctx)
	for _, v := range plan(&r.opt.Fleet, r.opt.Seed, r.opt.Length) {
		cs.come(v)
	}
}

// come has a visit take place at its time, unless the run is over then.
func (cs *clients) come(v visit) {
	time.AfterFunc(v.from-cs.rig.since(), func() {
		c := &client{rig: cs.rig, visit: v, rng: rand.New(rand.NewPCG(v.seed, 1))}
		cs.mu.Lock()
		if cs.closed {
			cs.mu.Unlock()
			return
		}
		cs.here[c] = true
		cs.wg.Add(1)
		cs.mu.Unlock()
		defer cs.wg.Done()
		c.run(cs.ctx)
		cs.mu.Lock()
		delete(cs.here, c)
		cs.mu.Unlock()
	})
}

// stop ends all visits and waits for that.
func (cs *clients) stop() {
	cs.mu.Lock()
	cs.closed = true
	cs.mu.Unlock()
	cs.cancel()
	cs.wg.Wait()
}

// measure weighs the present moment, as world does: what clients want and what they have, by worth.
func (cs *clients) measure() (s simulation.ServiceSecond) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.here {
		worth := classes[c.class].worth
		s.Requested += worth
		if c.served(cs.rig.now()) {
			s.Served += worth
		}
	}
	return s
}

// client is a visit that takes place.
type client struct {
	visit
	rig    *rig
	rng    *rand.Rand
	back   bool
	tries  int
	up     atomic.Bool
	late   atomic.Bool
	saidAt atomic.Int64 // when the oldest line without an answer went out; 0: none
}

func (c *client) served(now time.Duration) bool {
	said := time.Duration(c.saidAt.Load())
	return c.up.Load() && !c.late.Load() && (said == 0 || now-said <= lineAim)
}

func (c *client) between(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(c.rng.Int64N(int64(most-least)))
}

// run keeps to the wish for a connection until its time is over.
func (c *client) run(ctx context.Context) {
	r := c.rig
	ctx, cancel := context.WithTimeout(ctx, c.until-r.since())
	defer cancel()
	wished := time.Now()
	for ctx.Err() == nil {
		pause := c.connect(ctx, &wished)
		c.up.Store(false)
		if !wait(ctx, pause) {
			return
		}
	}
}

// connect tries once, stays as long as it holds, and says how long to wait before the next.
func (c *client) connect(ctx context.Context, wished *time.Time) (pause time.Duration) {
	r := c.rig
	n := r.front.pick(c.rng)
	if n < 0 {
		return 500 * time.Millisecond
	}
	conn, pause := c.dial(ctx, n)
	if conn == nil {
		return pause
	}
	id := r.ids.Add(1)
	var watch *invariant.ClientConn
	r.checked(func() { watch = r.check.ClientAccepted(int(id), n, r.check.RelayProcess(n)) })
	w := newWire(r, conn, party{fault.Relays, n}, party{fault.Clients, n}, watch)
	said, read := hear(w)
	defer c.part(w, said, read)
	w.say(c.request(id))
	select {
	case answer, ok := <-said:
		if !ok {
			r.count("connection ended without an answer")
			return c.soon()
		}
		return c.answered(ctx, answer, w, said, wished)
	case <-time.After(classes[c.class].giveUp + Allowance):
		r.count("client gave up")
		return c.soon()
	case <-ctx.Done():
		return 0
	}
}

// soon counts a try that came to nothing and says how long to wait: a while longer after a few in quick succession.
func (c *client) soon() time.Duration {
	if c.tries++; c.tries > mostTries {
		c.tries = 0
		return c.between(time.Second, 4*time.Second)
	}
	return c.between(30*time.Millisecond, 300*time.Millisecond)
}

// dial opens a connection to a relay, across whatever faults there are on the way. Without one it says how long to
// wait before the next try.
func (c *client) dial(ctx context.Context, n int) (conn *net.TCPConn, pause time.Duration) {
	r := c.rig
	late, ok := r.ways.opens(party{fault.Clients, n}, party{fault.Relays, n})
	if !ok {
		wait(ctx, time.Second)
		return nil, c.soon()
	}
	if late > 0 && !wait(ctx, late) {
		return nil, 0
	}
	up, err := net.DialTimeout("tcp", r.ports.relayAddr(n), 2*time.Second)
	if err != nil {
		r.count("client not let in")
		return nil, c.soon()
	}
	return up.(*net.TCPConn), 0
}

// request is the line that asks for a connection.
func (c *client) request(id uint64) string {
	name := fmt.Sprintf("%016x", id*0x9e3779b97f4a7c15+c.rig.opt.Seed)
	class := classes[c.class]
	line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", name, c.key, class.name, class.giveUp.Milliseconds())
	if c.tries > 0 {
		line += ",r=1"
	}
	if c.back {
		line += ",again=1"
	}
	return line
}

// hear listens to a connection. said has the lines that come and is closed at its end, then read is too.
func hear(w *wire) (said chan string, read chan struct{}) {
	said, read = make(chan string, 64), make(chan struct{})
	go func() {
		defer close(read)
		defer close(said)
		var l lines
		w.listen(func(b []byte) {
			l.feed(b, func(line string) {
				select {
				case said <- line:
				case <-w.ctx.Done():
				}
			})
		})
	}()
	return said, read
}

// part ends a connection in the background.
func (c *client) part(w *wire, said <-chan string, read <-chan struct{}) {
	c.rig.clients.wg.Add(1) // this visit still counts there
	go func() {
		defer c.rig.clients.wg.Done()
		go func() {
			for range said { // nobody listens to what comes now
			}
		}()
		w.part(read)
	}()
}

// answered takes in the answer to a request, stays if it is UP, and says how long to wait before the next try.
func (c *client) answered(ctx context.Context, answer string, w *wire, said <-chan string, wished *time.Time) (pause time.Duration) {
	r := c.rig
	switch word, rest, _ := strings.Cut(answer, " "); word {
	case "UP":
		r.count("served")
		r.waited(time.Since(*wished))
		c.tries, c.back = 0, false
		c.up.Store(true)
		c.late.Store(false)
		c.saidAt.Store(0)
		pause = c.stay(ctx, w, said)
		*wished = time.Now()
		return pause
	case "BUSY":
		r.count("refused")
		c.tries++
		if v, err := strconv.Atoi(rest); err == nil {
			return time.Duration(v) * time.Millisecond
		}
		return c.between(100*time.Millisecond, 600*time.Millisecond)
	}
	r.count("failed")
	r.count("failed " + classes[c.class].name)
	return c.soon()
}

// stay says a line every two seconds until the visit or the connection ends.
func (c *client) stay(ctx context.Context, w *wire, said <-chan string) (pause time.Duration) {
	r := c.rig
	talk := time.NewTicker(lineEvery)
	defer talk.Stop()
	n, heard := 0, time.Now()
	say := func() {
		if c.saidAt.Load() == 0 {
			c.saidAt.Store(int64(r.now()))
		}
		n++
		w.say(fmt.Sprintf("line %d", n))
	}
	say()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-talk.C:
			if time.Since(heard) > deadAir {
				r.count("connection silent")
				c.back = true
				return c.returns()
			}
			say()
		case line, ok := <-said:
			heard = time.Now()
			switch {
			case !ok:
				r.count("connection lost")
				c.back = true
				return c.returns()
			case line == "MOVE":
				r.count("moved by its relay")
				c.back = true
				return c.between(20*time.Millisecond, 400*time.Millisecond)
			case strings.HasPrefix(line, "R "):
				c.late.Store(r.now()-time.Duration(c.saidAt.Load()) > lineAim)
				c.saidAt.Store(0)
			}
		}
	}
}

// returns is when who has lost a connection comes again.
func (c *client) returns() time.Duration {
	if d := c.rig.opt.Fleet.ReconnectWindow; d > 0 {
		return c.between(0, d)
	}
	return c.between(30*time.Millisecond, 300*time.Millisecond)
}

func (r *rig) waited(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.hist.RecordValue(min(d.Microseconds(), r.hist.HighestTrackableValue()))
}
