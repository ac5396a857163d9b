package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aspenbarrow/internal/invariant"
)

// newCluster returns a cluster that has not started anything yet.
func newCluster(ctx context.Context, opt Options) *cluster {
	c := &cluster{options: opt, start: time.Now(), links: newLinkFaults(opt.Seed), counts: map[string]int{}, pendingAttempts: map[string]*session{}, flows: map[string]bool{},
		random: rand.New(rand.NewPCG(opt.Seed, 0xf1ee7)), errors: make(chan error, 16),
		connectLatency: hdrhistogram.New(1, 60_000_000, 3), workDir: opt.WorkDir}
	c.epoch = time.Duration(c.start.UnixNano())
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// shutdown ends everything that was started. Violations of the rules by relays from here on are not counted.
func (c *cluster) shutdown() {
	c.withChecker(func() {
		for i := range c.relays {
			c.checker.RelayStopped(i)
		}
	})
	c.cancel()
	c.launcher.close()
	c.ports.release()
	for _, b := range c.backends {
		b.stop(false)
		for _, release := range []func(){b.removeBlackhole, b.releasePort} {
			if release != nil {
				release()
			}
		}
	}
}

// setUp opens the cluster's sockets and starts everything except the relays.
func (c *cluster) setUp() (err error) {
	f := &c.options.Fleet
	if c.ports, err = newPorts(); err != nil {
		return err
	}
	forwarder, port, err := newDatagramForwarder(c)
	if err != nil {
		return err
	}
	c.ports.datagram = port
	c.traffic = newTrafficCounters(f.Relays, f.Backends+16, c)
	c.checker = invariant.New(invariantLimits(f), f.Relays, c.now, func(d time.Duration, do func()) { c.runAfter(d, func() { c.withChecker(do) }) })
	for i := range f.Relays {
		c.relays = append(c.relays, &relay{index: i, dir: filepath.Join(c.workDir, fmt.Sprintf("n%03d", i))})
	}
	c.discovery = newDiscoveryService(c, f.Relays)
	c.frontend = newFrontBalancer(c)
	if err := c.discovery.listen(); err != nil {
		forwarder.close()
		return err
	}
	c.serveUntilDone(forwarder)
	for range f.Backends {
		c.addBackend(false)
	}
	return nil
}

// serveUntilDone serves datagrams, and discovery, which listens already, until the cluster's context is done.
func (c *cluster) serveUntilDone(forwarder *datagramForwarder) {
	go forwarder.serve(c.ctx)
	context.AfterFunc(c.ctx, func() {
		forwarder.close()
		c.discovery.stopListening()
	})
}

// addBackend starts one more backend: warm before the run, cold during it.
func (c *cluster) addBackend(cold bool) *backend {
	sizes := c.options.Fleet.BackendSizes
	c.mu.Lock()
	n, size := len(c.backends), 1.0
	if len(sizes) > 0 {
		size = sizes[n%len(sizes)]
	}
	b := c.newBackend(n, size)
	c.backends = append(c.backends, b)
	c.mu.Unlock()
	c.withChecker(func() { c.checker.AddBackend(b.name, b.index%2) })
	b.launch(cold)
	return b
}
