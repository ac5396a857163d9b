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
	lineInterval         = 2 * time.Second
	lineLatencyObjective = 60 * time.Millisecond
	maxQuickAttempts     = 4               // in quick succession
	silenceTimeout       = 9 * time.Second // without a line a client takes its relay for gone
)

// frontBalancer deals connections out among the relays that it takes for good ones.
type frontBalancer struct {
	cluster   *cluster
	mu        sync.Mutex
	available []bool
	changes   []int // counts changes, so that what was noticed late does not undo what is newer
}

func newFrontBalancer(c *cluster) *frontBalancer {
	n := len(c.relays)
	return &frontBalancer{cluster: c, available: make([]bool, n), changes: make([]int, n)}
}

func (front *frontBalancer) setAvailable(relay int, good bool) {
	front.mu.Lock()
	defer front.mu.Unlock()
	front.changes[relay]++
	front.available[relay] = good
}

// noticeLoss is noticed after a while.
func (front *frontBalancer) noticeLoss(relay int) {
	front.mu.Lock()
	life := front.changes[relay]
	front.mu.Unlock()
	front.cluster.runAfter(front.cluster.links.randomDuration(200*time.Millisecond, 2600*time.Millisecond), func() {
		front.mu.Lock()
		defer front.mu.Unlock()
		if front.changes[relay] == life {
			front.changes[relay]++
			front.available[relay] = false
		}
	})
}

// pick is a relay for a new connection; below 0: there is none.
func (front *frontBalancer) pick(rng *rand.Rand) int {
	front.mu.Lock()
	defer front.mu.Unlock()
	if hot := front.cluster.options.Fleet.HotRelay; hot > 0 && front.available[0] && rng.Float64() < hot {
		return 0
	}
	n := 0
	for _, g := range front.available {
		if g {
			n++
		}
	}
	if n == 0 {
		return -1
	}
	k := rng.IntN(n)
	for i, g := range front.available {
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
	start time.Duration
	end   time.Duration
	seed  uint64
}

// clients come by an open loop: who comes, when, with which key and for how long is drawn before, whatever the relays
// do, and no client waits for its turn.
type clients struct {
	cluster *cluster
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	active  map[*client]bool
	closed  bool
}

// planVisits draws all visits of a run: those that come in the first rush, and who comes later so that as many are there.
func planVisits(f *simulation.Fleet, seed uint64, length time.Duration) []visit {
	rng := rand.New(rand.NewPCG(seed, 0xc11e))
	stay := func() time.Duration {
		least, most := f.Stay[0], f.Stay[1]
		return least + time.Duration(rng.Float64()*float64(most-least))
	}
	hot := rng.Uint64()
	draw := func(from time.Duration, stays time.Duration) visit {
		v := visit{key: rng.Uint64(), class: []int{0, 0, 1, 1, 2}[rng.IntN(5)], start: from, end: from + stays, seed: rng.Uint64()}
		if rng.Float64() < f.HotKey {
			v.key = hot
		}
		return v
	}
	var out []visit
	for range f.Clients { // what is left of the stay of those who would be there: long ones are the likelier
		s := stay()
		for rng.Float64() > float64(s)/float64(f.Stay[1]) {
			s = stay()
		}
		out = append(out, draw(time.Duration(rng.Float64()*float64(f.Rush)), time.Duration(rng.Float64()*float64(s))))
	}
	mean := (f.Stay[0] + f.Stay[1]).Seconds() / 2
	for t := f.Rush.Seconds(); ; {
		t += rng.ExpFloat64() * mean / float64(f.Clients)
		if t >= length.Seconds() {
			return out
		}
		out = append(out, draw(time.Duration(t*float64(time.Second)), stay()))
	}
}

func (cs *clients) start(c *cluster) {
	cs.cluster, cs.active = c, map[*client]bool{}
	cs.ctx, cs.cancel = context.WithCancel(c.ctx)
	for _, v := range planVisits(&c.options.Fleet, c.options.Seed, c.options.Duration) {
		cs.schedule(v)
	}
}

// schedule has a visit take place at its time, unless the run is over then.
func (cs *clients) schedule(v visit) {
	time.AfterFunc(v.start-cs.cluster.elapsed(), func() {
		c := &client{cluster: cs.cluster, visit: v, random: rand.New(rand.NewPCG(v.seed, 1))}
		cs.mu.Lock()
		if cs.closed {
			cs.mu.Unlock()
			return
		}
		cs.active[c] = true
		cs.wg.Add(1)
		cs.mu.Unlock()
		defer cs.wg.Done()
		c.run(cs.ctx)
		cs.mu.Lock()
		delete(cs.active, c)
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

// measureService weighs the present moment, as world does: what clients want and what they have, by worth.
func (cs *clients) measureService() (s simulation.Second) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.active {
		worth := requestClasses[c.class].priorityWeight
		s.Asked += worth
		if c.served(cs.cluster.now()) {
			s.Served += worth
		}
	}
	return s
}

// client is a visit that takes place.
type client struct {
	visit
	cluster      *cluster
	random       *rand.Rand
	returning    bool
	attempts     int
	connected    atomic.Bool
	slowResponse atomic.Bool
	pendingSince atomic.Int64 // when the oldest line without an answer went out; 0: none
}

func (c *client) served(now time.Duration) bool {
	said := time.Duration(c.pendingSince.Load())
	return c.connected.Load() && !c.slowResponse.Load() && (said == 0 || now-said <= lineLatencyObjective)
}

func (c *client) randomDuration(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(c.random.Int64N(int64(most-least)))
}

// run keeps to the wish for a connection until its time is over.
func (c *client) run(ctx context.Context) {
	cluster := c.cluster
	ctx, cancel := context.WithTimeout(ctx, c.end-cluster.elapsed())
	defer cancel()
	wished := time.Now()
	for ctx.Err() == nil {
		pause := c.connect(ctx, &wished)
		c.connected.Store(false)
		if !sleepContext(ctx, pause) {
			return
		}
	}
}

// connect tries once, stays as long as it holds, and says how long to wait before the next.
func (c *client) connect(ctx context.Context, wished *time.Time) (pause time.Duration) {
	cluster := c.cluster
	n := cluster.frontend.pick(c.random)
	if n < 0 {
		return 500 * time.Millisecond
	}
	conn, pause := c.dial(ctx, n)
	if conn == nil {
		return pause
	}
	id := cluster.connectionIDs.Add(1)
	var watch *invariant.ClientConn
	cluster.withChecker(func() { watch = cluster.checker.ClientAccepted(int(id), n, cluster.checker.RelayProcess(n)) })
	relayConn := newRelayConn(cluster, conn, node{fault.Relays, n}, node{fault.Clients, n}, watch)
	said, read := receiveLines(relayConn)
	defer c.closeInBackground(relayConn, said, read)
	relayConn.sendLine(c.request(id))
	select {
	case answer, ok := <-said:
		if !ok {
			cluster.incrementCount("connection ended without an answer")
			return c.retryDelay()
		}
		return c.handleAnswer(ctx, answer, relayConn, said, wished)
	case <-time.After(requestClasses[c.class].clientTimeout + TimingAllowance):
		cluster.incrementCount("client gave up")
		return c.retryDelay()
	case <-ctx.Done():
		return 0
	}
}

// retryDelay counts a try that came to nothing and says how long to wait: a while longer after a few in quick succession.
func (c *client) retryDelay() time.Duration {
	if c.attempts++; c.attempts > maxQuickAttempts {
		c.attempts = 0
		return c.randomDuration(time.Second, 4*time.Second)
	}
	return c.randomDuration(30*time.Millisecond, 300*time.Millisecond)
}

// dial opens a connection to a relay, across whatever faults there are on the way. Without one it says how long to
// wait before the next try.
func (c *client) dial(ctx context.Context, n int) (conn *net.TCPConn, pause time.Duration) {
	cluster := c.cluster
	late, ok := cluster.links.connectDelay(node{fault.Clients, n}, node{fault.Relays, n})
	if !ok {
		sleepContext(ctx, time.Second)
		return nil, c.retryDelay()
	}
	if late > 0 && !sleepContext(ctx, late) {
		return nil, 0
	}
	up, err := net.DialTimeout("tcp", cluster.ports.relayAddr(n), 2*time.Second)
	if err != nil {
		cluster.incrementCount("client not let in")
		return nil, c.retryDelay()
	}
	return up.(*net.TCPConn), 0
}

// request is the line that asks for a connection.
func (c *client) request(id uint64) string {
	name := fmt.Sprintf("%016x", id*0x9e3779b97f4a7c15+c.cluster.options.Seed)
	class := requestClasses[c.class]
	line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", name, c.key, class.name, class.clientTimeout.Milliseconds())
	if c.attempts > 0 {
		line += ",r=1"
	}
	if c.returning {
		line += ",again=1"
	}
	return line
}

// receiveLines listens to a connection. said has the lines that come and is closed at its end, then read is too.
func receiveLines(conn *relayConn) (said chan string, read chan struct{}) {
	said, read = make(chan string, 64), make(chan struct{})
	go func() {
		defer close(read)
		defer close(said)
		var l lineSplitter
		conn.receive(func(b []byte) {
			l.feed(b, func(line string) {
				select {
				case said <- line:
				case <-conn.ctx.Done():
				}
			})
		})
	}()
	return said, read
}

// closeInBackground ends a connection in the background.
func (c *client) closeInBackground(conn *relayConn, said <-chan string, read <-chan struct{}) {
	c.cluster.clients.wg.Add(1) // this visit still counts there
	go func() {
		defer c.cluster.clients.wg.Done()
		go func() {
			for range said { // nobody listens to what comes now
			}
		}()
		conn.closeGracefully(read)
	}()
}

// handleAnswer takes in the answer to a request, stays if it is UP, and says how long to wait before the next try.
func (c *client) handleAnswer(ctx context.Context, answer string, conn *relayConn, said <-chan string, wished *time.Time) (pause time.Duration) {
	cluster := c.cluster
	switch word, rest, _ := strings.Cut(answer, " "); word {
	case "UP":
		cluster.incrementCount("served")
		cluster.recordConnectLatency(time.Since(*wished))
		c.attempts, c.returning = 0, false
		c.connected.Store(true)
		c.slowResponse.Store(false)
		c.pendingSince.Store(0)
		pause = c.holdConnection(ctx, conn, said)
		*wished = time.Now()
		return pause
	case "BUSY":
		cluster.incrementCount("refused")
		c.attempts++
		if v, err := strconv.Atoi(rest); err == nil {
			return time.Duration(v) * time.Millisecond
		}
		return c.randomDuration(100*time.Millisecond, 600*time.Millisecond)
	}
	cluster.incrementCount("failed")
	cluster.incrementCount("failed " + requestClasses[c.class].name)
	return c.retryDelay()
}

// holdConnection says a line every two seconds until the visit or the connection ends.
func (c *client) holdConnection(ctx context.Context, conn *relayConn, said <-chan string) (pause time.Duration) {
	cluster := c.cluster
	talk := time.NewTicker(lineInterval)
	defer talk.Stop()
	n, heard := 0, time.Now()
	say := func() {
		if c.pendingSince.Load() == 0 {
			c.pendingSince.Store(int64(cluster.now()))
		}
		n++
		conn.sendLine(fmt.Sprintf("line %d", n))
	}
	say()
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-talk.C:
			if time.Since(heard) > silenceTimeout {
				cluster.incrementCount("connection silent")
				c.returning = true
				return c.reconnectDelay()
			}
			say()
		case line, ok := <-said:
			heard = time.Now()
			switch {
			case !ok:
				cluster.incrementCount("connection lost")
				c.returning = true
				return c.reconnectDelay()
			case line == "MOVE":
				cluster.incrementCount("moved by its relay")
				c.returning = true
				return c.randomDuration(20*time.Millisecond, 400*time.Millisecond)
			case strings.HasPrefix(line, "R "):
				c.slowResponse.Store(cluster.now()-time.Duration(c.pendingSince.Load()) > lineLatencyObjective)
				c.pendingSince.Store(0)
			}
		}
	}
}

// reconnectDelay is when who has lost a connection comes again.
func (c *client) reconnectDelay() time.Duration {
	if d := c.cluster.options.Fleet.Return; d > 0 {
		return c.randomDuration(0, d)
	}
	return c.randomDuration(30*time.Millisecond, 300*time.Millisecond)
}

func (c *cluster) recordConnectLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.connectLatency.RecordValue(min(d.Microseconds(), c.connectLatency.HighestTrackableValue()))
}
