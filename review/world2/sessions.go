package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// watchDeadline is the deadline of status-watch at kyushu-signing.
const watchDeadline = 3200 * time.Millisecond

// drainGrace is the setting stop-sending-within-ms with the 50 ms that sockets add.
const drainGrace = 300 * time.Millisecond

// openings records when backends have received OPEN lines.
type openings struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func newOpenings() *openings { return &openings{at: map[string][]time.Time{}} }

func (o *openings) add(backend string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.at[backend] = append(o.at[backend], time.Now())
}

// after counts the OPEN lines at a backend after a time.
func (o *openings) after(backend string, limit time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, at := range o.at[backend] {
		if at.After(limit) {
			count++
		}
	}
	return count
}

// record is the onOpen of a backend that serves all and records when.
func (o *openings) record(b *backend, _ *net.TCPConn, _ openLine) bool {
	o.add(b.entry.ID)
	return true
}

// sessions opens a connection of the class status-watch at an interval until stop is closed; each lasts for life. It counts how they end.
func (w *world) sessions(relay string, interval, life, timeout time.Duration, stop <-chan struct{}) map[end]int {
	ends := map[end]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			wait.Wait()
			return ends
		case <-time.After(interval):
		}
		wait.Go(func() {
			c, err := w.open(fmt.Sprintf("u%d", n), relay, w.newID(), w.newID(), "status-watch", timeout, "")
			if err != nil {
				return
			}
			answer := c.readAnswer(4 * time.Second)
			if !strings.HasPrefix(answer, "UP") {
				_ = c.conn.Close()
				return
			}
			how := c.hold(life)
			mu.Lock()
			ends[how]++
			mu.Unlock()
		})
	}
}
