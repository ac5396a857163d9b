package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// relaySockets is the relay's limit of descriptors, the smallest that the pages name.
	relaySockets = 256

	// restingClients is how many clients have connections that are up. With those that ask at the same time they stay under a third
	// of the relay's descriptors.
	restingClients = 76

	// earlySilentClients connect before the new version is started, and lateSilentClients when it is ready. They say nothing, and leave
	// when they are told to or after silentFor, in which they are owed an error or a close.
	earlySilentClients = 60
	lateSilentClients  = 240
	silentFor          = 3 * time.Second

	// askingClients ask one after another, askInterval apart, each with the time askFor.
	askingClients = 6
	askInterval   = 300 * time.Millisecond
	askFor        = 1800 * time.Millisecond

	// lateBy is how much later than its time a request may have its final answer; socketSlack is added on sockets. noAnswerBy is how
	// long the stand-in waits for one, to tell a late answer from none.
	lateBy     = 500 * time.Millisecond
	noAnswerBy = 5 * time.Second

	// readyWithin is how long a new process may take to say that it is ready. termAfter is when the old one is told to end then, and
	// killAfter how long after that it is killed: the longest deadline (3 s at most) and 0.7 s.
	readyWithin = 6 * time.Second
	termAfter   = 100 * time.Millisecond
	killAfter   = 3700 * time.Millisecond
)

// crowdedUpgrade has clients that say nothing connect to a relay that has nearly as many connections as clients may hold, and usual
// clients right after them. Without the disruption one process serves; with it a new version has just been started beside it.
func crowdedUpgrade(b *bed) error {
	_, servers, err := b.backends(3, nil)
	if err != nil {
		return err
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	settings := signingSettings(signingClasses("read_like"))
	relay, config, path, err := b.managedRelayWith(agent, settings, relaySockets)
	if err != nil {
		return err
	}
	for range restingClients {
		client := standin.Connect(b.record, relay.Listen, "status-watch", 3200*time.Millisecond, "")
		b.onClose(client.Close)
		if !client.Up() {
			return fmt.Errorf("client %s is not served: %q", client.ID, client.Answer)
		}
	}
	var clients sync.WaitGroup
	if err := b.silentCrowd(relay.Listen, earlySilentClients, &clients); err != nil {
		return err
	}
	if b.trouble {
		if err := b.newVersion(config, path); err != nil {
			return err
		}
		term := time.AfterFunc(termAfter, func() { relay.Signal(syscall.SIGTERM) })
		defer term.Stop()
		kill := time.AfterFunc(termAfter+killAfter, relay.Kill)
		defer kill.Stop()
	}
	if err := b.silentCrowd(relay.Listen, lateSilentClients, &clients); err != nil {
		return err
	}
	var mu sync.Mutex
	for range askingClients {
		clients.Go(func() {
			text := b.askLate(relay.Listen)
			mu.Lock()
			defer mu.Unlock()
			if text != "" {
				b.breaks("%s", text)
			}
		})
		time.Sleep(askInterval)
	}
	clients.Wait()
	return nil
}

// silentCrowd connects clients that say nothing.
func (b *bed) silentCrowd(relay string, count int, clients *sync.WaitGroup) error {
	for range count {
		conn, err := net.DialTimeout("tcp", relay, time.Second)
		if err != nil {
			return err
		}
		clients.Go(func() {
			_ = conn.SetReadDeadline(time.Now().Add(silentFor))
			_, _ = conn.Read(make([]byte, 64))
			_ = conn.Close()
		})
	}
	b.record.Printf("note    %d clients have connected and say nothing", count)
	return nil
}

// askLate sends a request and returns how its final answer breaks the rule, or nothing. It connects before it sends, so that the time
// counts from the request's last byte.
func (b *bed) askLate(relay string) string {
	conn, err := net.DialTimeout("tcp", relay, time.Second)
	if err != nil {
		b.record.Printf("note    not connected, not judged: %v", err)
		return ""
	}
	defer conn.Close()
	id := standin.NewID()
	line := fmt.Sprintf("OPEN %s %s c=sig-fetch,d=%d", id, standin.NewID(), askFor.Milliseconds())
	b.record.Printf("sent    %s", line)
	if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
		b.record.Printf("note    not sent, not judged: %v", err)
		return ""
	}
	sent := b.record.Now()
	_ = conn.SetReadDeadline(time.Now().Add(noAnswerBy))
	answer, err := bufio.NewReader(conn).ReadString('\n')
	took := b.record.Now() - sent
	b.record.Printf("answer  %s after %v: %q %v", id, took, strings.TrimSpace(answer), err)
	if answer == "" {
		return fmt.Sprintf("request %s got no final answer: %v after %v", id, err, took)
	}
	if took > askFor+lateBy+socketSlack {
		return fmt.Sprintf("request %s got its final answer after %v, %v after its time: %s", id, took, took-askFor, strings.TrimSpace(answer))
	}
	return ""
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
