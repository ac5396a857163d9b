package main

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["restart-id"] = playRestartID }

const (
	// setupTime is how long a backend takes to answer an OPEN line here, under half of the aim of status-watch, 800 ms.
	setupTime = 350 * time.Millisecond

	// foreignIDs is how many open requests the bad clients choose, badClients how many of them send the id of each.
	foreignIDs = 3
	badClients = 4

	// settledTime is the age from which a request has certainly been accepted by the process that accepted alone at that time.
	settledTime = 20 * time.Millisecond
)

// pendingRequest is a request that a client has sent and that has no answer yet.
type pendingRequest struct {
	id   string
	sent time.Time
}

// pendingRequests are the requests without an answer, the newest last.
type pendingRequests struct {
	mu       sync.Mutex
	requests []pendingRequest
}

func (p *pendingRequests) add(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, pendingRequest{id, time.Now()})
}

func (p *pendingRequests) remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = slices.DeleteFunc(p.requests, func(r pendingRequest) bool { return r.id == id })
}

// newest returns the ids of the newest requests that were sent before a time.
func (p *pendingRequests) newest(count int, before time.Time) (ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range slices.Backward(p.requests) {
		if r.sent.Before(before) && len(ids) < count {
			ids = append(ids, r.id)
		}
	}
	return ids
}

// received counts the OPEN lines that backends have received, by id.
type received struct {
	mu   sync.Mutex
	byID map[string][]string
}

func (r *received) add(backend, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], backend)
}

func (r *received) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.byID[id]...)
}

// playRestartID sends the id of another client's open request, with trouble during a start of a new version.
func playRestartID(w *world) error {
	runs := &received{byID: map[string][]string{}}
	_, entries, err := w.startBackends(3, func(b *backend, _ *net.TCPConn, o openLine) bool {
		runs.add(b.entry.ID, o.id)
		time.Sleep(setupTime)
		return true
	})
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries)
	if err != nil {
		return err
	}
	classes := defaultClasses()
	classes[0].effect = "non_idempotent"
	config, err := w.smallConfig("n0", a.addr, classes, a.whole())
	if err != nil {
		return err
	}
	first, err := w.startRelay("n0-old", config)
	if err != nil {
		return err
	}
	if err := first.awaitReady(); err != nil {
		return err
	}
	pending, stop := &pendingRequests{}, make(chan struct{})
	go w.sendRequests(config.listen, pending, stop)
	defer close(stop)
	time.Sleep(2 * time.Second)
	if w.trouble {
		next := *config
		if next.management, err = freeAddress(); err != nil {
			return err
		}
		second, err := w.startRelay("n0-new", &next)
		if err != nil {
			return err
		}
		if err := second.awaitReady(); err != nil {
			return err
		}
	}
	ids := pending.newest(foreignIDs, time.Now().Add(-settledTime))
	if len(ids) == 0 {
		return fmt.Errorf("no request is open any more")
	}
	return w.sendForeignIDs(config.listen, ids, runs)
}

// sendRequests opens a connection every 50 ms, of the class that must not be repeated.
func (w *world) sendRequests(relay string, pending *pendingRequests, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := w.newID()
		c, err := w.open(fmt.Sprintf("u%d", n), relay, id, w.newID(), "status-watch", 3200*time.Millisecond, "")
		if err != nil {
			continue
		}
		pending.add(id)
		go func() {
			answer := c.readAnswer(4 * time.Second)
			pending.remove(id)
			if strings.HasPrefix(answer, "UP") {
				c.hold(20 * time.Second)
			}
		}()
	}
}

// sendForeignIDs has bad clients send the ids of requests that are open, and checks that none of them is served.
func (w *world) sendForeignIDs(relay string, ids []string, runs *received) error {
	served := make(chan string, foreignIDs*badClients)
	var wait sync.WaitGroup
	for _, id := range ids {
		w.logf("case      the request %s is open at %v", id, runs.of(id))
		for n := range badClients {
			wait.Go(func() {
				c, err := w.open(fmt.Sprintf("bad%d", n), relay, id, w.newID(), "status-watch", 3200*time.Millisecond, "")
				if err != nil {
					return
				}
				defer c.conn.Close()
				if strings.HasPrefix(c.readAnswer(3*time.Second), "UP") {
					served <- id
				}
			})
		}
	}
	wait.Wait()
	close(served)
	total := 0
	for id := range served {
		total++
		w.logf("case      a bad client with the id %s was served; OPEN lines with this id ran at %v", id, runs.of(id))
	}
	if total > 0 {
		return fmt.Errorf("%w: %d clients with the id of another client's open request were served", errRuleBroken, total)
	}
	return nil
}
