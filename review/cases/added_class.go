package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// newConfigurationAt is when the new configuration comes: not in the relay's first second.
	newConfigurationAt = 2 * time.Second

	// useNewClassAfter is how long after SIGHUP clients come under the new class's rules.
	useNewClassAfter = 1200 * time.Millisecond

	// oldAgentLeaves is how long after a new configuration the agent that it no longer names closes its connections.
	oldAgentLeaves = 1500 * time.Millisecond

	// drainAfterReload is how long after the new configuration a backend begins to drain. What discovery has to tell counts as told 4 s
	// after SIGHUP.
	drainAfterReload = 5 * time.Second

	// countsAsTold is how long after discovery had it, and could be reached, a change counts as told at the latest.
	countsAsTold = 6 * time.Second

	// drainGrace is how long after it was told of a drain a relay may send to the backend.
	drainGrace = 250 * time.Millisecond

	// watchedFor is how long clients come after that.
	watchedFor = 10 * time.Second
)

// stretch gives classes the optional key aim-stretch.
func stretch(classes ...map[string]any) {
	for _, c := range classes {
		c["aim-stretch"] = 0.5
	}
}

// addedClass gives a relay one new configuration, in which a class is added and discovery moves. The classes so far have the optional
// key aim-stretch, and the disruption is that the added class has not. A backend drains soon after; once that counts as told the relay
// has to stop sending to it within the grace.
func addedClass(b *bed) error {
	backends, servers, err := b.backends(3, nil)
	if err != nil {
		return err
	}
	agent, err := b.agent("old agent", 0, 41, servers)
	if err != nil {
		return err
	}
	next, err := b.agent("new agent", 0, 41, servers)
	if err != nil {
		return err
	}
	classes := signingClasses("read_like")
	stretch(classes...)
	relay, config, path, err := b.managedRelay(agent, classes)
	if err != nil {
		return err
	}
	stopLoad := b.load(relay.Listen)
	b.until(newConfigurationAt)
	added := class("bulk-submit", "read_like", 500, 2000, 1)
	if !b.trouble {
		stretch(added)
	}
	replacement := standin.NewConfig(config.Name, config.Listen, next.Addr(), signingSettings(append(classes, added)))
	replacement.Management, replacement.Seed, replacement.Known = config.Management, config.Seed, config.Known
	if err := b.reload(relay, path, replacement); err != nil {
		return err
	}
	agent.Leave(oldAgentLeaves)
	time.Sleep(useNewClassAfter)
	standin.Connect(b.record, relay.Listen, "bulk-submit", 2*time.Second, "").Close() // for the record alone
	b.until(newConfigurationAt + drainAfterReload)
	next.Set("s-1", "draining")
	drained := b.record.Now()
	b.until(drained + countsAsTold + watchedFor)
	stopLoad()
	for _, open := range backends[1].Opens() {
		if open.FirstByte > drained+countsAsTold+drainGrace+socketSlack {
			b.breaks("s-1 drains since %v, which counts as told %v later; %v after that it receives %s", drained, countsAsTold,
				open.FirstByte-drained-countsAsTold, open.Line)
		}
	}
	return nil
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

// reload replaces the file of the configuration, sends SIGHUP and waits until the relay has counted it as taken or turned down.
func (b *bed) reload(relay *standin.Relay, path string, config standin.Config) error {
	before, err := relay.Stats()
	if err != nil {
		return err
	}
	if err := config.Write(path); err != nil {
		return err
	}
	b.record.Printf("config  %s", config.Settings)
	relay.Signal(syscall.SIGHUP)
	for range 200 {
		after, err := relay.Stats()
		if err != nil {
			return err
		}
		if after["reload_success"]+after["reload_failure"] > before["reload_success"]+before["reload_failure"] {
			if after["reload_failure"] > before["reload_failure"] {
				b.record.Printf("reload  relay %s has turned the file down; its log: %s", relay.Name, b.lastLogLine(relay, "reload rejected"))
			}
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("relay %s has not read its file within 2 s of SIGHUP", relay.Name)
}

// lastLogLine returns the last line of a relay's log with a text.
func (b *bed) lastLogLine(relay *standin.Relay, text string) (last string) {
	log, err := os.ReadFile(filepath.Join(b.dir, relay.Name+".log"))
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			last = strings.TrimSpace(line)
		}
	}
	return last
}
