package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// openConnections is how many connections are up when the new version starts, and as many requests wait for their answer then.
	openConnections = 5

	// upAfter is how long the backends take to bring an image-submit up.
	upAfter = 1500 * time.Millisecond

	// readyWithin is how long a new process may take to say that it is ready.
	readyWithin = 6 * time.Second
)

// foreignIDs has bad clients send the ids of other clients' open requests: of some that are up and some that wait. Without the disruption one process serves; with it a
// new version has been started beside it and says that it is ready. None of the bad clients may be served.
func foreignIDs(b *bed) error {
	_, servers, err := b.backends(3, func(backend *standin.Backend) {
		backend.Answer = func(open standin.Open) standin.Reply {
			reply := standin.Reply{Line: "UP " + backend.Name}
			if open.Class == "image-submit" {
				reply.Delay = upAfter
			}
			return reply
		}
	})
	if err != nil {
		return err
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	relay, config, path, err := b.managedRelay(agent, signingClasses("read_like"))
	if err != nil {
		return err
	}
	defer b.load(relay.Listen)()
	var open []*standin.Client
	for range openConnections {
		client := standin.Connect(b.record, relay.Listen, "status-watch", 3200*time.Millisecond, "")
		b.onClose(client.Close)
		if !client.Up() {
			return fmt.Errorf("client %s is not served: %q", client.ID, client.Answer)
		}
		open = append(open, client)
	}
	waiting, answered := b.waitingRequests(relay.Listen)
	if b.trouble {
		if err := b.newVersion(config, path); err != nil {
			return err
		}
	}
	for _, id := range waiting {
		b.borrowWaitingID(relay.Listen, id, answered)
	}
	for _, client := range open {
		if err := b.borrowID(relay.Listen, client); err != nil {
			return err
		}
	}
	if b.trouble {
		relay.Signal(syscall.SIGTERM)
		select {
		case <-relay.Ended():
		case <-time.After(3700 * time.Millisecond):
		}
	}
	return nil
}

// waitingRequests sends requests whose answers take upAfter. It returns their ids once their backends have them, and a function that
// tells whether a request has been answered.
func (b *bed) waitingRequests(relay string) (ids []string, answered func(id string) bool) {
	var mu sync.Mutex
	done := map[string]bool{}
	for range openConnections {
		id := standin.NewID()
		ids = append(ids, id)
		go func() {
			client := standin.ConnectAs(b.record, relay, id, "image-submit", 2*time.Second, "")
			defer client.Close()
			mu.Lock()
			defer mu.Unlock()
			done[id] = true
		}()
	}
	time.Sleep(100 * time.Millisecond)
	return ids, func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		return done[id]
	}
}

// borrowWaitingID has a bad client send the id of a request that is not answered before nor after. One that has been answered
// meanwhile is not judged.
func (b *bed) borrowWaitingID(relay, id string, answered func(id string) bool) {
	bad := standin.ConnectAs(b.record, relay, id, "status-watch", 3200*time.Millisecond, "")
	defer bad.Close()
	if answered(id) {
		b.record.Printf("note    request %s has been answered by now, not judged", id)
		return
	}
	if bad.Up() {
		b.breaks("a bad client with the id %s, of another client's request that waits for its answer, was served: %s", id, bad.Answer)
	}
}

// newVersion starts a relay's process again, with the same addresses but a new second address, and waits until it is ready.
func (b *bed) newVersion(config standin.Config, path string) (err error) {
	if config.Management, err = standin.FreeAddress(); err != nil {
		return err
	}
	relay, err := standin.StartRelay(b.record, b.root, b.dir, path, config)
	if err != nil {
		return err
	}
	b.onClose(relay.Kill)
	for end := b.record.Now() + readyWithin; b.record.Now() < end; time.Sleep(20 * time.Millisecond) {
		if answer, err := relay.Manage("READY"); err == nil && strings.HasPrefix(answer, "SUCCESS") {
			return nil
		}
	}
	return fmt.Errorf("the new process is not ready within %v", readyWithin)
}

// borrowID has a bad client send the id of a client whose connection is open before and after.
func (b *bed) borrowID(relay string, client *standin.Client) error {
	if answer, err := client.Exchange("before", time.Second); err != nil || answer != "answer to before" {
		return fmt.Errorf("connection %s is not open: %q, %w", client.ID, answer, err)
	}
	bad := standin.ConnectAs(b.record, relay, client.ID, "status-watch", 3200*time.Millisecond, "")
	defer bad.Close()
	if answer, err := client.Exchange("after", time.Second); err != nil || answer != "answer to after" {
		return fmt.Errorf("connection %s is not open: %q, %w", client.ID, answer, err)
	}
	if bad.Up() {
		b.breaks("a bad client with the id %s, of another client's open connection, was served: %s", client.ID, bad.Answer)
	}
	return nil
}
