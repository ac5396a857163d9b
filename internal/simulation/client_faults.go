package simulation

import "time"

// startBurst adds clients for a while.
func startBurst(run *run, f Fault) (end func()) {
	for range 20 + int(f.Severity*40) {
		c := run.addClient()
		c.connectAfter(run.engine.randomDuration(0, time.Second))
		run.engine.schedule(f.Duration, func() { c.stopped = true })
	}
	return nil
}

// shareHotKey has two thirds of the clients use the same key.
func shareHotKey(run *run, _ Fault) (end func()) {
	was := make([]uint64, len(run.clients))
	for i, c := range run.clients {
		if was[i] = c.key; i%3 != 0 {
			c.key = 0x407
		}
	}
	return func() {
		for i := range was {
			run.clients[i].key = was[i]
		}
	}
}

// disconnectClients disconnects half of the clients.
func disconnectClients(run *run, f Fault) (end func()) {
	for i, c := range run.clients {
		if conn := c.conn; conn != nil && i%2 == f.Target%2 {
			run.engine.schedule(run.engine.randomDuration(0, 300*time.Millisecond), func() { c.disconnect(conn) })
		}
	}
	return nil
}

// startMisbehavingClients adds clients that violate the protocol.
func startMisbehavingClients(run *run, f Fault) (end func()) {
	for i := range 30 + int(f.Severity*100) {
		run.engine.schedule(run.engine.randomDuration(0, f.Duration), func() { run.startMisbehavingClient(f.Target + i) })
	}
	return nil
}
