package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// readyTimeout is the time within which nine in ten restarted relays have to answer PONG at their listen address.
const readyTimeout = 10 * time.Second

// TestStart_RestartedRelaysBecomeReadyInTime starts two dozen relays at once with a thousand backends and peers, for
// several states of discovery and of the cached list: nine in ten are ready in time, so no start waits for the
// network.
func TestStart_RestartedRelaysBecomeReadyInTime(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0") // takes calls and answers none
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mute.Close() })
	var slow fake.Discovery
	if err := slow.Listen("127.0.0.1:0", unreachableEndpoints(1000)...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(slow.Close)
	const here = `"peers":["127.0.0.1:9"]`
	for _, tc := range []struct {
		name      string
		discovery string
		known     []fake.Endpoint
		replace   [2]string
		standing  int // connections from before the start that come at once
	}{
		{"discovery down, an old list", "127.0.0.1:9", unreachableEndpoints(1000), [2]string{here, peersJSON(1000)}, 0},
		{"discovery silent, an old list", mute.Addr().String(), unreachableEndpoints(1000), [2]string{here, peersJSON(1000)}, 0},
		{"discovery silent, no list", mute.Addr().String(), nil, [2]string{here, peersJSON(1000)}, 0},
		{"discovery down, no list", "127.0.0.1:9", nil, [2]string{here, peersJSON(1000)}, 0},
		{"discovery down, a spoilt list", "127.0.0.1:9", unreachableEndpoints(1), [2]string{`"full":true`, `"full":"yes"`}, 0},
		{"discovery up, a spoilt list", slow.Addr(), unreachableEndpoints(1000), [2]string{`"full":true`, `"full":"yes"`}, 0},
		{"discovery up, no list", slow.Addr(), nil, [2]string{here, peersJSON(1000)}, 0},
		{"connections from before the start", "127.0.0.1:9", unreachableEndpoints(1000), [2]string{here, peersJSON(1000)}, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			began, relays := time.Now(), make([]*relayProcess, 3)
			for i := range relays {
				relays[i] = startProcess(t, processOptions{discovery: tc.discovery, knownEndpoints: tc.known, replaceText: tc.replace, memoryMB: 32, sockets: 256})
			}
			late := 0
			for _, process := range relays {
				for i := range tc.standing {
					c := process.dial()
					c.send(fmt.Sprintf("OPEN %016x %016x c=chat,d=2000,at=s-%08x", i+1, i+1, i))
				}
				took := process.waitUntilReady(began)
				if took > readyTimeout {
					late++
				}
				if strings.Contains(tc.name, "spoilt") {
					process.waitForLog("cached endpoint list is malformed", 1)
				}
			}
			if 10*late > len(relays) {
				t.Errorf("%d of %d relays were not ready within %v", late, len(relays), readyTimeout)
			}
		})
	}
}

// TestServe_LargeFleetFitsSmallestLimits runs a relay with 1,024 relays and 2,000 backends within the smallest limits
// of the platform: at the start, after reloads and with complete lists from discovery.
func TestServe_LargeFleetFitsSmallestLimits(t *testing.T) {
	var version atomic.Int64 // of discovery's list, which names some servers fewer each time
	version.Store(2)
	heard := make(chan int64, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
		if v := version.Load(); index < v {
			_, _ = w.Write(fake.EncodeList(int(v), unreachableEndpoints(2000-int(v))))
			return
		}
		heard <- index // it has that list
		for version.Load() == index && r.Context().Err() == nil {
			time.Sleep(5 * time.Millisecond) // there is nothing newer yet
		}
		_, _ = w.Write(fake.EncodeList(int(version.Load()), unreachableEndpoints(2000-int(version.Load()))))
	}))
	t.Cleanup(server.Close)
	options := processOptions{discovery: server.Listener.Addr().String(), knownEndpoints: unreachableEndpoints(2000), replaceText: [2]string{`"peers":["127.0.0.1:9"]`, peersJSON(1024)}, memoryMB: 32, sockets: 256}
	process := startProcess(t, options)
	process.waitUntilReady(time.Now())
	small := func(when string) {
		t.Helper()
		t.Logf("%s: %d MB", when, process.residentMB())
		if mb := process.residentMB(); mb > 32 && !raceEnabled {
			t.Errorf("%s: %d MB of 32", when, mb)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.cmd.Process.Pid))
		if err != nil || len(fds) > 64 {
			t.Errorf("%s: %d descriptors without a client, %v", when, len(fds), err)
		}
	}
	small("at the start")
	for round := range 3 { // each server named anew, three times over
		for want := version.Add(1); ; {
			select {
			case got := <-heard:
				if got == want {
					want = 0
				}
			case <-time.After(testTimeout):
				t.Fatal("the list is not asked for")
			}
			if want == 0 {
				break
			}
		}
		small("with a list")
		options.replaceText[1] = peersJSON(1024 - round - 1)
		process.reloadConfig(options)
		process.waitForLog("configuration reloaded", round+1)
		small("after a reload")
	}
	process.waitUntilReady(time.Now())
}

func TestServe_RejectsInvalidConfigurationBeforeListening(t *testing.T) {
	for name, r := range map[string][2]string{
		"not JSON":           {`"seed"`, `seed`},
		"bad seed":           {`8c1f30d27a5be964`, `xyz`},
		"no deadline":        {`"give-up-ms":2000`, `"gives-up-ms":2000`},
		"no aim":             {`"on-time-ms":500`, `"on-time-ms":0`},
		"attempts below one": {`"try-limit":4`, `"try-limit":-4`},
		"no classes":         {`"classes":[`, `"no-classes":[`},
		"negative limit":     {`"memory_mb":192`, `"memory_mb":-1`},
		"no listen address":  {`127.0.0.1:0","m`, `","m`},
		"bad listen address": {`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "no listen address" {
				r = [2]string{`"listen":"127.0.0.1:0"`, `"listen":""`}
			}
			process := launchProcess(t, processOptions{discovery: "127.0.0.1:9", replaceText: r})
			err := process.waitForExit()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("exit: %v", err)
			}
			if !strings.HasPrefix(process.log.String(), "aspenbarrow: ") || strings.Contains(process.log.String(), "serving") {
				t.Errorf("said %q", process.log)
			}
		})
	}
}
