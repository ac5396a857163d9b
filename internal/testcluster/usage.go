package testcluster

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is the CPU time that a process has used and its peak memory.
type processUsage struct {
	cpu    time.Duration
	memory int64 // peak resident size in bytes
}

func (p *process) usage() (u processUsage, err error) {
	dir := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return u, err
	}
	rest := stat[bytes.LastIndexByte(stat, ')')+1:] // the process name before it may itself contain parentheses and spaces
	fields := strings.Fields(string(rest))
	if len(fields) < 13 {
		return u, fmt.Errorf("%s/stat has %d fields after the process name, expected at least 13", dir, len(fields))
	}
	const ticksPerSecond = 100
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			return processUsage{u.cpu, kb << 10}, err
		}
	}
	return u, nil
}

// relayUsages returns the resource usage so far of the relay processes that are running.
func (c *cluster) relayUsages() map[*process]processUsage {
	out := map[*process]processUsage{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range c.relays {
		if target.process != nil && !target.down {
			if u, err := target.process.usage(); err == nil {
				out[target.process] = u
			}
		}
	}
	return out
}

// totalCPUTime returns the CPU time used so far by all relay processes that are running.
func (c *cluster) totalCPUTime() (sum time.Duration) {
	for _, u := range c.relayUsages() {
		sum += u.cpu
	}
	return sum
}
