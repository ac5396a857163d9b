package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["busy-window"] = playBusyWindow }

const (
	// dedupWindow is how long the backends discard repeats of a request here.
	dedupWindow = time.Second

	// resetShare is the share of the requests that the backends have begun and whose connections are reset.
	resetShare = 0.25

	// resetDelay is when a reset follows the OPEN line.
	resetDelay = 100 * time.Millisecond

	// uploads and uploadInterval give the traffic of the case.
	uploads        = 150
	uploadInterval = 300 * time.Millisecond

	// maxTries is how often a client tries.
	maxTries = 4
)

// group is the memory that all backends share: when a key has first run. It discards repeats within dedupWindow.
type group struct {
	world *world
	mu    sync.Mutex
	runs  map[string][]time.Time
}

// run runs an upload, or discards it as a repeat.
func (g *group) run(backend string, o openLine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, runs := time.Now(), g.runs[o.key]
	if len(runs) > 0 && now.Sub(runs[len(runs)-1]) < dedupWindow {
		g.world.logf("backend   %s discards a repeat of key %s", backend, o.key)
		return
	}
	g.runs[o.key] = append(runs, now)
	g.world.logf("backend   %s runs key %s, run %d", backend, o.key, len(runs)+1)
}

func (g *group) count(key string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.runs[key])
}

// playBusyWindow resets connections under requests that backends have begun.
func playBusyWindow(w *world) error {
	g := &group{world: w, runs: map[string][]time.Time{}}
	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	_, entries, err := w.startBackends(6, func(b *backend, conn *net.TCPConn, o openLine) bool {
		g.run(b.entry.ID, o)
		mu.Lock()
		reset := w.trouble && rng.Float64() < resetShare
		mu.Unlock()
		if reset {
			time.Sleep(resetDelay)
			w.logf("network   resets the connection of %s at %s", o.id, b.entry.ID)
			resetConn(conn)
		}
		return !reset
	})
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries)
	if err != nil {
		return err
	}
	classes := defaultClasses()
	classes[1].effect, classes[1].scope, classes[1].windows = "idempotency_key", "all", float64(dedupWindow.Milliseconds())
	config, err := w.smallConfig("n0", a.addr, classes, a.whole())
	if err != nil {
		return err
	}
	r, err := w.startRelay("n0", config)
	if err != nil {
		return err
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	return w.uploadAll(config.listen, g)
}

// uploadAll sends all uploads and checks that each has run once at most.
func (w *world) uploadAll(relay string, g *group) error {
	keys := make([]string, uploads)
	var wait sync.WaitGroup
	for n := range uploads {
		keys[n] = w.newID()
		wait.Go(func() { w.upload(fmt.Sprintf("u%d", n), relay, keys[n]) })
		time.Sleep(uploadInterval)
	}
	wait.Wait()
	twice := 0
	for _, key := range keys {
		if g.count(key) > 1 {
			twice++
			w.logf("case      key %s ran %d times", key, g.count(key))
		}
	}
	if twice > 0 {
		return fmt.Errorf("%w: %d of %d uploads ran more than once, each after BUSY", errRuleBroken, twice, uploads)
	}
	return nil
}

// upload makes one upload. The client tries again only after BUSY, and then after the stated time: a failure promises nothing.
func (w *world) upload(label, relay, key string) {
	extra := ""
	for range maxTries {
		c, err := w.open(label, relay, w.newID(), key, "image-submit", 2*time.Second, extra)
		if err != nil {
			return
		}
		answer := c.readAnswer(4 * time.Second)
		if strings.HasPrefix(answer, "UP") {
			c.hold(5 * time.Second)
			return
		}
		_ = c.conn.Close()
		word, after, _ := strings.Cut(answer, " ")
		if word != "BUSY" {
			return
		}
		milliseconds, _ := strconv.Atoi(after)
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
		extra = ",r=1"
	}
}
