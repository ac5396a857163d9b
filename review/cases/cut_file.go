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
	// newConfigurationAt is when the configuration comes again: not in the relay's first second.
	newConfigurationAt = 2 * time.Second

	// useNewClassAfter is how long after SIGHUP clients come under the rules of the new file.
	useNewClassAfter = 1200 * time.Millisecond

	// submitsFor is how long clients submit then.
	submitsFor = 8 * time.Second
)

// cellCount is how many cells the backends are in, two in each.
const cellCount = 3

// keyedFile is a configuration in the program's own form. The backends of a cell discard repeats of an image-submit; others do not.
const keyedFile = `[relay]
name = "n0"
listen = %q
management = %q

[limits]
cores = 1
memory-mb = 64
sockets = 576

[discovery]
address = %q

[rules]
zones = ["fukuoka-dc", "kumamoto-dc"]
kinds = ["fast-2c", "mid-2c", "slow-2c"]
max-attempts = 4
drain-grace = "250ms"

[[class]]
name = "status-watch"
on-time = "800ms"
give-up = "3200ms"
effect = "safe"

[[class]]
name = "sig-fetch"
on-time = "300ms"
give-up = "1800ms"
effect = "safe"
worth = 2

[[class]]
name = "image-submit"
on-time = "500ms"
give-up = "2s"
effect = "keyed"
window = "5s"
scope = "cell"
worth = 3
`

// cutAfter is the last line that the file has left when it is cut short.
const cutAfter = "window = \"5s\"\n"

// cutFile gives a relay its configuration once more; the disruption is that the file is cut short. No image-submit that may have run
// may go to a backend of another cell.
func cutFile(b *bed) error {
	backends, servers, err := b.backends(2*cellCount, func(backend *standin.Backend) {
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
	for i := range servers {
		servers[i].Cell = i / 2
	}
	agent, err := b.agent("agent", 0, 41, servers)
	if err != nil {
		return err
	}
	var addresses [2]string
	for i := range addresses {
		if addresses[i], err = standin.FreeAddress(); err != nil {
			return err
		}
	}
	text := fmt.Sprintf(keyedFile, addresses[0], addresses[1], agent.Addr())
	path := filepath.Join(b.dir, "relay.toml")
	if err := replaceFile(path, text); err != nil {
		return err
	}
	config := standin.Config{Name: "n0", Listen: addresses[0], Management: addresses[1], Discovery: agent.Addr()}
	relay, err := standin.StartRelay(b.record, b.root, b.dir, path, config)
	if err != nil {
		return err
	}
	b.onClose(relay.Kill)
	if err := relay.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	defer b.load(relay.Listen)()
	b.until(newConfigurationAt)
	if b.trouble {
		text = text[:strings.LastIndex(text, cutAfter)+len(cutAfter)]
	}
	if err := b.reloadFile(relay, path, text); err != nil {
		return err
	}
	time.Sleep(useNewClassAfter)
	b.submit(relay.Listen)
	cells := map[string]int{} // by the id of a request: the cell in which it ran first
	for i, backend := range backends {
		for _, open := range backend.Opens() {
			if open.Class != "image-submit" {
				continue
			}
			cell, ran := cells[open.ID]
			if ran && cell != servers[i].Cell {
				b.breaks("a request that is keyed by cell has run in cells %d and %d: %s", cell, servers[i].Cell, open.Line)
			}
			cells[open.ID] = servers[i].Cell
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

// replaceFile replaces a file as a whole, so that no reader finds a part of it.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// reloadFile replaces the file of the configuration, sends SIGHUP and waits until the relay has counted it as taken or turned down.
func (b *bed) reloadFile(relay *standin.Relay, path, text string) error {
	before, err := relay.Stats()
	if err != nil {
		return err
	}
	if err := replaceFile(path, text); err != nil {
		return err
	}
	b.record.Printf("config  %d bytes, the last line is %q", len(text), text[strings.LastIndex(text[:len(text)-1], "\n")+1:])
	relay.Signal(syscall.SIGHUP)
	for range 200 {
		after, err := relay.Stats()
		if err != nil {
			return err
		}
		for _, figure := range []string{"reload_success", "reload_failure"} {
			if after[figure] > before[figure] {
				b.record.Printf("reload  relay %s counts %s", relay.Name, figure)
				return nil
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("relay %s has not read its file within 2 s of SIGHUP", relay.Name)
}
