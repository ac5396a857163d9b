package main

import (
	"sync"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// messageTime is how long a backend takes for a line: the time within which a message is wanted.
	messageTime = 60 * time.Millisecond

	// lastLines is how many clients send a last line.
	lastLines = 80

	// lineWait is how long a client waits for the answer to its line.
	lineWait = 3 * time.Second
)

// clientsEndTheirSide has clients that are up send a line, end their side of the connection, and read until its end. The backend
// answers the line, so the client has to receive that answer or a MOVE. Without the disruption a client ends its side once it has
// the answer.
func clientsEndTheirSide(b *bed) error {
	_, servers, err := b.backends(3, func(backend *standin.Backend) { backend.LineTime = messageTime })
	if err != nil {
		return err
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	relay, _, _, err := b.managedRelay(agent, signingClasses("read_like", 0))
	if err != nil {
		return err
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	for i := range lastLines {
		clients.Go(func() {
			client := standin.Connect(b.record, relay.Listen, "status-watch", 3200*time.Millisecond, "")
			defer client.Close()
			if !client.Up() {
				return
			}
			time.Sleep(time.Duration(i*37%500) * time.Millisecond)
			answer, err := client.LastLine("line "+client.ID, b.trouble, lineWait)
			if answer != "answer to line "+client.ID && answer != "MOVE" {
				mu.Lock()
				defer mu.Unlock()
				b.breaks("client %s was up and got neither the answer to its last line nor a MOVE: %q, %v", client.ID, answer, err)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	return nil
}
