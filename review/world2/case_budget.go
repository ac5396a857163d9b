package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["budget"] = playBudget }

const (
	// The further rule: in any budgetWindow the attempts beyond each request's first number at most budgetFree plus budgetShare of
	// the requests taken in it. windowSlack extends the window for the requests and shortens it for the attempts.
	budgetWindow = 10 * time.Second
	budgetFree   = 3
	budgetShare  = 0.1
	windowSlack  = 100 * time.Millisecond

	// failingBackends of budgetBackends fail and recover by turns, each at times of its own, for troubleTime after quietTime: they
	// fail all requests quickly for badShare of each turn, which lasts between minTurn and maxTurn.
	budgetBackends  = 30
	failingBackends = 9
	minTurn         = 8.0 // seconds
	maxTurn         = 11.0
	badShare        = 0.53
	quietTime       = 20 * time.Second
	troubleTime     = 45 * time.Second

	// budgetInterval is the time between two requests.
	budgetInterval = 100 * time.Millisecond
)

// flapping is the turns of one backend that fails and recovers.
type flapping struct {
	begin       time.Time
	phase, turn float64 // seconds
}

// isBad reports whether the backend fails its requests now.
func (f *flapping) isBad() bool {
	since := time.Since(f.begin)
	if f.turn == 0 || since < 0 || since > troubleTime {
		return false
	}
	return math.Mod(since.Seconds()+f.phase, f.turn) < badShare*f.turn
}

// newFlapping draws the turns of the failing backends.
func newFlapping(begin time.Time) map[string]*flapping {
	turns := map[string]*flapping{}
	for i := range failingBackends {
		turn := minTurn + rand.Float64()*(maxTurn-minTurn)
		turns[fmt.Sprintf("s-%d", i+1)] = &flapping{begin, rand.Float64() * turn, turn}
	}
	return turns
}

// attemptCount records when each request was sent and when its attempts reached a backend.
type attemptCount struct {
	mu      sync.Mutex
	byID    map[string]int
	taken   []time.Time
	further []time.Time // attempts beyond a request's first
}

func (a *attemptCount) sent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.taken = append(a.taken, time.Now())
}

func (a *attemptCount) reached(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id]++
	if a.byID[id] > 1 {
		a.further = append(a.further, time.Now())
	}
}

// worst returns the window in which the further attempts exceed the budget most, and by how much.
func (a *attemptCount) worst() (further int, allowed, excess float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, last := range a.further {
		attempts := 0
		for _, at := range a.further[:i+1] {
			if last.Sub(at) < budgetWindow-windowSlack {
				attempts++
			}
		}
		requests := 0
		for _, at := range a.taken {
			if !at.After(last) && last.Sub(at) < budgetWindow+windowSlack {
				requests++
			}
		}
		limit := budgetFree + budgetShare*float64(requests)
		if over := float64(attempts) - limit; over > excess || i == 0 {
			further, allowed, excess = attempts, limit, over
		}
	}
	return further, allowed, excess
}

// playBudget has a third of the backends fail and recover by turns.
func playBudget(w *world) error {
	count := &attemptCount{byID: map[string]int{}}
	turns := newFlapping(time.Now().Add(quietTime))
	_, entries, err := w.startBackends(budgetBackends, func(b *backend, conn *net.TCPConn, o openLine) bool {
		count.reached(o.id)
		if f := turns[b.entry.ID]; w.trouble && f != nil && f.isBad() {
			w.logf("backend   %s answers ERR to %s", b.entry.ID, o.id)
			fmt.Fprint(conn, "ERR\r\n")
			return false
		}
		return true
	})
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries)
	if err != nil {
		return err
	}
	config, err := w.smallConfig("n0", a.addr, defaultClasses(), a.whole())
	if err != nil {
		return err
	}
	rules := config.settings["rules"].(object)
	rules["free-resends"], rules["extra-ratio"], rules["budget-window-ms"] = budgetFree, budgetShare, budgetWindow.Milliseconds()
	config.settings["limits"].(object)["try-limit"] = 5
	r, err := w.startRelay("n0", config)
	if err != nil {
		return err
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	time.AfterFunc(quietTime+troubleTime, func() { close(stop) })
	w.sessionsCounted(config.listen, budgetInterval, 5*time.Second, stop, count.sent)
	further, allowed, excess := count.worst()
	w.logf("case      at worst %d attempts beyond each request's first in %v, allowed are %.1f", further, budgetWindow, allowed)
	if excess > 0 {
		return fmt.Errorf("%w: %d attempts beyond each request's first in %v, allowed are %.1f", errRuleBroken, further, budgetWindow, allowed)
	}
	return nil
}
