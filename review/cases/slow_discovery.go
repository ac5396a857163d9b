package main

import (
	"sync"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// slowAnswer is how late discovery's answers are.
	slowAnswer = 1500 * time.Millisecond

	// drainAt is when a backend begins to drain.
	drainAt = 6 * time.Second

	// countsAsTold is how long after discovery had it, and could be reached, a change counts as told at the latest.
	countsAsTold = 6 * time.Second

	// drainGrace is how long after it was told of a drain a relay may send to the backend; socketSlack is added on sockets.
	drainGrace  = 250 * time.Millisecond
	socketSlack = 50 * time.Millisecond

	// watchedFor is how long clients come after that.
	watchedFor = 10 * time.Second

	arrivalInterval = 100 * time.Millisecond
)

// slowDiscovery starts a relay beside a discovery whose answers are late, and has a backend drain. The relay has to stop sending to
// it within the grace after the change counts as told.
func slowDiscovery(b *bed) error {
	backends, servers, err := b.backends(3, nil)
	if err != nil {
		return err
	}
	latency := time.Duration(0)
	if b.trouble {
		latency = slowAnswer
	}
	agent, err := b.agent("agent", latency, 41, servers)
	if err != nil {
		return err
	}
	relay, _, _, err := b.managedRelay(agent, signingClasses("read_like"))
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	limit := drainAt + countsAsTold + drainGrace + socketSlack
	drained := time.AfterFunc(drainAt-b.record.Now(), func() { agent.Set("s-1", "draining") })
	defer drained.Stop()
	for b.record.Now() < limit+watchedFor {
		clients.Go(func() {
			client := standin.Connect(b.record, relay.Listen, "status-watch", 3200*time.Millisecond, "")
			client.Close()
		})
		time.Sleep(arrivalInterval)
	}
	clients.Wait()
	for _, open := range backends[1].Opens() {
		if open.FirstByte > limit {
			b.breaks("s-1 drains since %v, which counts as told %v later; %v after that it receives %s", drainAt, countsAsTold,
				open.FirstByte-drainAt-countsAsTold, open.Line)
		}
	}
	return nil
}
