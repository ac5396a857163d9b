package testcluster

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// checkMachineLimits checks, before anything is started, that the machine has enough file descriptors and memory.
func checkMachineLimits(relays, conns int) error {
	var lim unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &lim); err != nil {
		return err
	}
	if lim.Cur < lim.Max { // the Go runtime has usually raised it already
		lim.Cur = lim.Max
		_ = unix.Setrlimit(unix.RLIMIT_NOFILE, &lim)
	}
	// A connection takes one descriptor at its client and one at its backend; a relay takes those for discovery and health
	// checks.
	const descriptorsPerRelay, ownDescriptors = 24, 200
	if need := uint64(2*conns + descriptorsPerRelay*relays + ownDescriptors); need > lim.Cur {
		fits := (int64(lim.Cur) - ownDescriptors - int64(2*conns)) / descriptorsPerRelay
		return fmt.Errorf("%d relays with %d connections need %d file descriptors, the limit is %d: with this many connections, %d relays fit",
			relays, conns, need, lim.Cur, max(0, fits))
	}
	var mem unix.Sysinfo_t
	if err := unix.Sysinfo(&mem); err != nil {
		return err
	}
	const memoryPerRelay = 24 << 20
	free := int64(mem.Freeram+mem.Bufferram) * int64(mem.Unit)
	if kb := availableKB(); kb > 0 {
		free = kb << 10
	}
	if need := int64(relays) * memoryPerRelay; need > free {
		return fmt.Errorf("%d relays need about %d MB of memory, %d MB are available: %d relays fit", relays, need>>20, free>>20, free/memoryPerRelay)
	}
	return nil
}

// availableKB returns MemAvailable of /proc/meminfo, in kilobytes, or 0 if the system does not report it.
func availableKB() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemAvailable:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			if err == nil {
				return kb
			}
		}
	}
	return 0
}
