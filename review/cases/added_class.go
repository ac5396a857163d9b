package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/review/standin"
)

const (
	// newConfigurationAt is when the new configuration comes: not in the relay's first second.
	newConfigurationAt = 2 * time.Second

	// useNewClassAfter is how long after SIGHUP clients come under the new class's rules.
	useNewClassAfter = 1200 * time.Millisecond

	// submitsFor is how long clients submit then.
	submitsFor = 8 * time.Second
)

// stretch gives classes the optional key aim-stretch.
func stretch(classes ...map[string]any) {
	for _, c := range classes {
		c["aim-stretch"] = 0.5
	}
}

// addedClass gives a relay one new configuration, in which image-submit is unsafe to repeat and a class is added. The classes so far
// have the optional key aim-stretch, and the disruption is that the added class has not. No image-submit may run twice.
func addedClass(b *bed) error {
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
	classes := signingClasses("read_like")
	stretch(classes...)
	relay, config, path, err := b.managedRelay(agent, classes)
	if err != nil {
		return err
	}
	defer b.load(relay.Listen)()
	b.until(newConfigurationAt)
	classes, added := signingClasses("non_idempotent"), class("bulk-submit", "read_like", 500, 2000, 1)
	stretch(classes...)
	if !b.trouble {
		stretch(added)
	}
	replacement := standin.NewConfig(config.Name, config.Listen, config.Discovery, signingSettings(append(classes, added)))
	replacement.Management, replacement.Seed = config.Management, config.Seed
	if err := b.reload(relay, path, replacement); err != nil {
		return err
	}
	time.Sleep(useNewClassAfter)
	b.submit(relay.Listen)
	standin.Connect(b.record, relay.Listen, "bulk-submit", 2*time.Second, "").Close() // for the record alone
	runs := map[string]int{}
	for _, backend := range backends {
		for _, open := range backend.Opens() {
			if runs[open.ID]++; open.Class == "image-submit" && runs[open.ID] == 2 {
				b.breaks("an unsafe request has run twice: %s", open.Line)
			}
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
