package testcluster

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/fault"
)

// defaultDescriptors is the descriptor limit in a relay's configuration unless Options.Descriptors sets another.
const defaultDescriptors = 1024

// nextProcess is what a relay's next process is started with.
type nextProcess struct {
	program      string
	number       int               // 0: the relay's first process
	configPath   string            // of its configuration file
	cachedStates map[string]string // state of each backend in the cached endpoint list; nil: there is none
	admin        string            // address of its admin endpoint; empty: it has none
}

// prepareProcess writes the files of a relay's next process.
func (c *cluster) prepareProcess(target *relay) (next nextProcess, err error) {
	if err := os.MkdirAll(filepath.Join(target.dir, "tmp"), 0o700); err != nil {
		return next, err
	}
	next.program, next.number = c.programFor(target)
	if c.usesAdminEndpoints() { // the processes of a hot restart run at the same time, so each has an address of its own
		next.admin = c.ports.adminAddr(target.index, next.number)
	}
	config := c.relayConfig(target)
	if c.options.CachedLists && next.number > 0 {
		config["known"], next.cachedStates = c.discovery.agents[target.index].cachedList()
	}
	next.configPath, err = writeConfig(target.dir, config)
	return next, err
}

// launchProcess starts a process of a relay, which takes over from one that is running.
func (c *cluster) launchProcess(target *relay, next nextProcess) (*process, error) {
	environment := []string{"PROXY_CONFIG=" + next.configPath, "TMPDIR=" + filepath.Join(target.dir, "tmp"), "PATH=/usr/bin:/bin"}
	if next.admin != "" {
		environment = append(environment, "PROXY_MANAGEMENT="+next.admin)
	}
	p, err := c.launcher.start(next.program, target.dir, target.index, environment)
	if err != nil {
		return nil, err
	}
	p.admin = next.admin
	if err := c.limitDescriptors(p); err != nil {
		return nil, err
	}
	go c.reportUnexpectedExit(target, p)
	return p, nil
}

// launchSuccessor starts a process beside the running one of a relay.
func (c *cluster) launchSuccessor(target *relay) (*process, error) {
	next, err := c.prepareProcess(target)
	if err != nil {
		return nil, err
	}
	return c.launchProcess(target, next)
}

// usesAdminEndpoints reports whether the relays have an admin endpoint.
func (c *cluster) usesAdminEndpoints() bool {
	return c.options.Fleet.Membership || slices.ContainsFunc(c.options.Faults, func(f fault.Fault) bool { return isHotRestart(f.Kind) })
}

// limitDescriptors has the system enforce Options.Descriptors on a process.
func (c *cluster) limitDescriptors(p *process) error {
	n := uint64(c.options.Descriptors)
	if n == 0 {
		return nil
	}
	err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
	if err != nil && p.running() {
		return fmt.Errorf("relay %d: limiting its descriptors to %d: %w", p.relay, n, err)
	}
	return nil
}

// relayConfig returns the content of a relay's configuration file.
func (c *cluster) relayConfig(target *relay) map[string]any {
	f := &c.options.Fleet
	var peers []string
	if f.Gossip {
		for j := range c.relays {
			peers = append(peers, c.ports.peerAddr(target.index, j))
		}
	}
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], c.options.Seed<<20|uint64(target.index)+1)
	config := map[string]any{
		"name":        fmt.Sprintf("n%03d", target.index),
		"listen":      c.ports.relayAddr(target.index),
		"discovery":   c.ports.discoveryAddr(target.index),
		"seed":        fmt.Sprintf("%x", seed),
		"settings":    relaySettings(f, target.index),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": cmp.Or(c.options.Descriptors, defaultDescriptors)},
		"peer_listen": c.ports.peerListen(target.index),
		"peers":       peers,
		"peers_all":   c.ports.broadcastAddr(target.index),
	}
	if f.Membership {
		config["membership"] = map[string]any{"fleet": "rig"}
	}
	return config
}

// programFor returns the path of the program for the next process of a relay, and that process's number from 0 on.
func (c *cluster) programFor(target *relay) (program string, number int) {
	c.mu.Lock()
	number = target.starts
	target.starts++
	c.mu.Unlock()
	if c.options.ProgramFor == nil {
		return c.options.Program, number
	}
	return c.options.ProgramFor(target.index, number), number
}

// writeConfig writes a relay's configuration file and returns its path.
func writeConfig(dir string, config map[string]any) (string, error) {
	text, err := json.Marshal(config)
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}
