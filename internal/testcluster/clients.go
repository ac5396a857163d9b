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
	maxQuickAttempts     = 4               // failed attempts in quick succession before a longer pause
	silenceTimeout       = 9 * time.Second // time without a line after which a client gives up a connection
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
	stopped bool
}

// start schedules all visits of the run.
func (cs *clients) start(c *cluster) {
	cs.cluster, cs.active = c, map[*client]bool{}
	cs.ctx, cs.cancel = context.WithCancel(c.ctx)
	for _, v := range planVisits(&c.options.Fleet, c.options.Seed, c.options.Duration) {
		cs.schedule(v)
	}
}

// schedule starts a visit at its start time, unless the clients are stopped by then.
func (cs *clients) schedule(v visit) {
	time.AfterFunc(v.start-cs.cluster.elapsed(), func() {
		c := &client{cluster: cs.cluster, visit: v, random: rand.New(rand.NewPCG(v.seed, 1))}
		cs.mu.Lock()
		if cs.stopped {
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
	cs.stopped = true
	cs.mu.Unlock()
	cs.cancel()
	cs.wg.Wait()
}

// measureService returns the current demand of the active clients and how much of it is served, both weighted by
// priority, as package simulation measures them.
func (cs *clients) measureService() (s simulation.ServiceSecond) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for c := range cs.active {
		weight := requestClasses[c.class].priorityWeight
		s.Requested += weight
		if c.served(cs.cluster.now()) {
			s.Served += weight
		}
	}
	return s
}
