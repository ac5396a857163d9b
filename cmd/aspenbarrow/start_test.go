package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	silentListener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and does not answer
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silentListener.Close() })
	running := startDiscovery(t, unreachableEndpoints(1000)...)
	const defaultPeers = `"peers":["127.0.0.1:9"]`
	for _, tc := range []struct {
		name      string
		discovery string
		known     []fake.Endpoint
		replace   [2]string
		sessions  int // sessions from before the start, whose clients reconnect at once
	}{
		{"discovery down, cached list", "127.0.0.1:9", unreachableEndpoints(1000), [2]string{defaultPeers, peersJSON(1000)}, 0},
		{"discovery silent, cached list", silentListener.Addr().String(), unreachableEndpoints(1000), [2]string{defaultPeers, peersJSON(1000)}, 0},
		{"discovery silent, no cached list", silentListener.Addr().String(), nil, [2]string{defaultPeers, peersJSON(1000)}, 0},
		{"discovery down, no cached list", "127.0.0.1:9", nil, [2]string{defaultPeers, peersJSON(1000)}, 0},
		{"discovery down, malformed cached list", "127.0.0.1:9", unreachableEndpoints(1), [2]string{`"full":true`, `"full":"yes"`}, 0},
		{"discovery up, malformed cached list", running.Addr(), unreachableEndpoints(1000), [2]string{`"full":true`, `"full":"yes"`}, 0},
		{"discovery up, no cached list", running.Addr(), nil, [2]string{defaultPeers, peersJSON(1000)}, 0},
		{"reconnecting sessions", "127.0.0.1:9", unreachableEndpoints(1000), [2]string{defaultPeers, peersJSON(1000)}, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			start, relays := time.Now(), make([]*relayProcess, 3)
			for i := range relays {
				relays[i] = startProcess(t, processOptions{discovery: tc.discovery, knownEndpoints: tc.known, replaceText: tc.replace, memoryMB: 32, sockets: 256})
			}
			late := 0
			for _, process := range relays {
				for i := range tc.sessions {
					c := process.dial()
					c.send(fmt.Sprintf("OPEN %016x %016x c=chat,d=2000,at=s-%08x", i+1, i+1, i))
				}
				took := process.waitUntilReady(start)
				if took > readyTimeout {
					late++
				}
				if strings.Contains(tc.name, "malformed") {
					process.waitForLog(logCachedListMalformed, 1)
				}
			}
			if 10*late > len(relays) {
				t.Errorf("%d of %d relays were not ready within %v", late, len(relays), readyTimeout)
			}
		})
	}
}

// TestServe_LargeFleetFitsSmallestLimits runs a relay with 1,024 peers and 2,000 backends within the smallest limits
// of the platform: at the start, after reloads and with complete lists from discovery.
func TestServe_LargeFleetFitsSmallestLimits(t *testing.T) {
	discovery := newChangingDiscovery(t)
	options := processOptions{discovery: discovery.Listener.Addr().String(), knownEndpoints: unreachableEndpoints(2000),
		replaceText: [2]string{`"peers":["127.0.0.1:9"]`, peersJSON(1024)}, memoryMB: 32, sockets: 256}
	process := startProcess(t, options)
	process.waitUntilReady(time.Now())
	process.checkIdleFootprint("at the start")
	for round := range 3 {
		discovery.publish(t)
		process.checkIdleFootprint("with a list")
		options.replaceText[1] = peersJSON(1024 - round - 1)
		process.reloadConfig(options)
		process.waitForLog(logReloaded, round+1)
		process.checkIdleFootprint("after a reload")
	}
	process.waitUntilReady(time.Now())
}

// changingDiscovery is a discovery service that publishes a complete list with each version, one endpoint shorter
// than that of the version before.
type changingDiscovery struct {
	*httptest.Server
	version atomic.Int64
	watches chan int64 // for each call that waits, the version that the caller has
}

// newChangingDiscovery starts a discovery service at version 2.
func newChangingDiscovery(t *testing.T) *changingDiscovery {
	t.Helper()
	discovery := &changingDiscovery{watches: make(chan int64, 64)}
	discovery.version.Store(2)
	discovery.Server = httptest.NewServer(http.HandlerFunc(discovery.serveList))
	t.Cleanup(discovery.Close)
	return discovery
}

// serveList answers with the current list, once it is newer than the caller's.
func (discovery *changingDiscovery) serveList(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if version := discovery.version.Load(); index < version {
		_, _ = w.Write(fake.EncodeList(int(version), unreachableEndpoints(2000-int(version))))
		return
	}
	discovery.watches <- index
	for discovery.version.Load() == index && r.Context().Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	version := discovery.version.Load()
	_, _ = w.Write(fake.EncodeList(int(version), unreachableEndpoints(2000-int(version))))
}

// publish changes the list and waits until a caller has received it.
func (discovery *changingDiscovery) publish(t *testing.T) {
	t.Helper()
	published := discovery.version.Add(1)
	for {
		select {
		case received := <-discovery.watches:
			if received == published {
				return
			}
		case <-time.After(testTimeout):
			t.Fatalf("no caller has received version %d within %v", published, testTimeout)
		}
	}
}

// checkIdleFootprint fails the test if a relay without clients holds more than 32 MB or 64 descriptors.
func (process *relayProcess) checkIdleFootprint(when string) {
	process.t.Helper()
	process.t.Logf("%s: %d MB resident", when, process.residentMB())
	if mb := process.residentMB(); mb > 32 && !raceEnabled {
		process.t.Errorf("%s: %d MB resident, want 32 at most", when, mb)
	}
	if count := process.descriptorCount(); count > 64 {
		process.t.Errorf("%s: %d descriptors without a client, want 64 at most", when, count)
	}
}

func TestServe_RejectsInvalidConfigurationBeforeListening(t *testing.T) {
	for name, replaceText := range map[string][2]string{
		"not JSON":           {`"seed"`, `seed`},
		"seed not hex":       {`8c1f30d27a5be964`, `xyz`},
		"no give-up time":    {`"give-up-ms":2000`, `"gives-up-ms":2000`},
		"on-time is zero":    {`"on-time-ms":500`, `"on-time-ms":0`},
		"attempts below one": {`"try-limit":4`, `"try-limit":-4`},
		"no classes":         {`"classes":[`, `"no-classes":[`},
		"negative limit":     {`"memory_mb":192`, `"memory_mb":-1`},
		"no listen address":  {`127.0.0.1:0","m`, `","m`},
		"listen lacks port":  {`"listen":"127.0.0.1:0"`, `"listen":"nowhere"`},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "no listen address" {
				replaceText = [2]string{`"listen":"127.0.0.1:0"`, `"listen":""`}
			}
			process := launchProcess(t, processOptions{discovery: "127.0.0.1:9", replaceText: replaceText})
			err := process.waitForExit()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("exit: %v", err)
			}
			if !strings.HasPrefix(process.log.String(), "aspenbarrow: ") || strings.Contains(process.log.String(), "serving") {
				t.Errorf("output %q", process.log)
			}
		})
	}
}
