package testcluster

import (
	"bytes"
	"errors"
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
	rest := stat[bytes.LastIndexByte(stat, ')')+1:] // the name before it may contain anything
	fields := strings.Fields(string(rest))
	if len(fields) < 13 {
		return u, errors.New("stat is short")
	}
	const ticksASecond = 100
	for _, f := range fields[11:13] {
		ticks, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(ticks) * time.Second / ticksASecond
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
