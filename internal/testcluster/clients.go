package testcluster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"aspenbarrow/internal/simulation"
)

const (
	lineInterval         = 2 * time.Second
	lineLatencyObjective = 60 * time.Millisecond
	maxQuickAttempts     = 4               // in quick succession, before a longer pause
	silenceTimeout       = 9 * time.Second // without an answer, after which a client gives a connection up
)

// clients generate open-loop load: arrival times, keys and durations are drawn in advance, so that they do not
// depend on how the relays respond.
type clients struct {
	cluster *cluster
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	mu      sync.Mutex
	active  map[*client]bool
	closed  bool
}

// start schedules all visits of the run.
func (cs *clients) start(c *cluster) {
	cs.cluster, cs.active = c, map[*client]bool{}
	cs.ctx, cs.cancel = context.WithCancel(c.ctx)
	for _, v := range planVisits(&c.options.Fleet, c.options.Seed, c.options.Duration) {
		cs.schedule(v)
	}
}

// schedule has a visit begin at its time, unless the clients are stopped by then.
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

// stop ends all visits and waits for their connections to close.
func (cs *clients) stop() {
	cs.mu.Lock()
	cs.closed = true
	cs.mu.Unlock()
	cs.cancel()
	cs.wg.Wait()
}

// measureService measures the present moment as package simulation does: the demand of the clients present and how
// much of it is served, both weighted by priority.
func (cs *clients) measureService() (s simulation.ServiceSecond) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.active {
		worth := requestClasses[c.class].priorityWeight
		s.Requested += worth
		if c.served(cs.cluster.now()) {
			s.Served += worth
		}
	}
	return s
}
