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
	// newConfigurations is how many configurations in a row retune the worth of the classes.
	newConfigurations = 345

	// configurationInterval is the shortest time between two of them.
	configurationInterval = 50 * time.Millisecond

	// useNewClassAfter is how long after SIGHUP clients come under the new class's rules.
	useNewClassAfter = 1200 * time.Millisecond

	// submitsFor is how long clients submit then.
	submitsFor = 6 * time.Second
)

// configurationsInARow gives a relay many new configurations, each valid, and last one that makes a class unsafe to repeat. No
// request of that class may run twice.
func configurationsInARow(b *bed) error {
	backends, servers, err := b.backends(3, func(backend *standin.Backend) {
		backend.Answer = func(open standin.Open) standin.Reply {
			if open.Class == "image-submit" && strings.HasSuffix(open.ID, "0") { // it has run, and then an error came
				return standin.Reply{Line: "ERR", Close: true}
			}
			return standin.Reply{Line: "UP " + backend.Name}
		}
	})
	if err != nil {
		return err
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	relay, config, path, err := b.managedRelay(agent, signingClasses("read_like", 0))
	if err != nil {
		return err
	}
	apply := func(classes []map[string]any) error {
		replacement := standin.NewConfig(config.Name, config.Listen, config.Discovery, signingSettings(classes))
		replacement.Management, replacement.Seed = config.Management, config.Seed
		return b.reload(relay, path, replacement)
	}
	defer b.load(relay.Listen)()
	b.until(1500 * time.Millisecond)
	if b.trouble {
		for n := range newConfigurations {
			if err := apply(signingClasses("read_like", float64(n+1)/1000)); err != nil {
				return err
			}
			time.Sleep(configurationInterval)
		}
	}
	if err := apply(signingClasses("non_idempotent", 0.5)); err != nil {
		return err
	}
	time.Sleep(useNewClassAfter)
	b.submit(relay.Listen)
	runs := map[string]int{}
	for _, backend := range backends {
		for _, open := range backend.Opens() {
			if runs[open.ID]++; runs[open.ID] == 2 {
				b.breaks("an unsafe request has run twice: %s", open.Line)
			}
		}
	}
	_, err = relay.Manage("READY")
	return err
}

// load has a client of the cheapest class come every 200 ms, until the returned function is called.
func (b *bed) load(relay string) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(200 * time.Millisecond):
				standin.Connect(b.record, relay, "status-watch", 3200*time.Millisecond, "").Close()
			}
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// submit has clients submit for submitsFor, each request once.
func (b *bed) submit(relay string) {
	var clients sync.WaitGroup
	for end := b.record.Now() + submitsFor; b.record.Now() < end; time.Sleep(20 * time.Millisecond) {
		clients.Go(func() { standin.Connect(b.record, relay, "image-submit", 2*time.Second, "").Close() })
	}
	clients.Wait()
}

// reload replaces the file of the configuration, sends SIGHUP and waits until the relay has counted it as taken or turned down.
func (b *bed) reload(relay *standin.Relay, path string, config standin.Config) error {
	before, err := relay.Stats()
	if err != nil {
		return err
	}
	if err := config.Write(path); err != nil {
		return err
	}
	relay.Signal(syscall.SIGHUP)
	for range 200 {
		after, err := relay.Stats()
		if err != nil {
			return err
		}
		if after["reload_success"]+after["reload_failure"] > before["reload_success"]+before["reload_failure"] {
			if after["reload_failure"] > before["reload_failure"] {
				b.record.Printf("reload  relay %s has turned the file down", relay.Name)
			}
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("relay %s has not read its file within 2 s of SIGHUP", relay.Name)
}
