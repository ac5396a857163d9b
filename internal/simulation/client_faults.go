package simulation

import "time"

// startBurst adds clients, which stop connecting after the fault's duration.
func startBurst(run *run, f Fault) (end func()) {
	for range 20 + int(f.Severity*40) {
		c := run.addClient()
		c.connectAfter(run.engine.randomDuration(0, time.Second))
		run.engine.schedule(f.Duration, func() { c.stopped = true })
	}
	return nil
}

// shareHotKey gives two thirds of the clients the same key.
func shareHotKey(run *run, _ Fault) (end func()) {
	previous := make([]uint64, len(run.clients))
	for i, c := range run.clients {
		previous[i] = c.key
		if i%3 != 0 {
			c.key = hotKey
		}
	}
	return func() {
		for i, key := range previous {
			run.clients[i].key = key
		}
	}
}

// disconnectClients disconnects half of the clients within 300 ms.
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
