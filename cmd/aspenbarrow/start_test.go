package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// readyWithin is by when nine in ten restarted relays have to answer PONG on their listen address.
const readyTimeout = 10 * time.Second

// hosts is a list of so many servers that nobody runs.
func unreachableEndpoints(n int) (list []fake.Endpoint) {
	for i := range n {
		list = append(list, fake.Endpoint{ID: fmt.Sprintf("s-%08x", i), Addr: fmt.Sprintf("127.0.%d.%d:9", 1+i/250, 1+i%250), Zone: "east", State: "ready", Weight: 1})
	}
	return list
}

// names are so many peers, as the configuration writes them.
func peersJSON(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250))
	}
	text, _ := json.Marshal(list)
	return `"peers":` + string(text)
}

// pong waits until a relay says that it is to be used and returns how long that took since.
func (p *relayProcess) waitUntilReady(since time.Time) time.Duration {
	p.t.Helper()
	for {
		if c, err := net.Dial("tcp", p.address); err == nil {
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			_, _ = fmt.Fprint(c, "PING\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			_ = c.Close()
			if line == "PONG\r\n" {
				return time.Since(since)
			}
		}
		if time.Since(since) > testTimeout {
			p.t.Fatalf("never ready\n%s", p.log)
		}
		time.Sleep(20 * time.Millisecond) // between two questions
	}
}

// Two dozen processes start again at once, each with a thousand servers and peers, whatever discovery and the list that
// they had are like: nine in ten are ready in time, and nothing at the start waits for the network for good.
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
			for _, p := range relays {
				for i := range tc.standing {
					c := p.dial()
					c.send(fmt.Sprintf("OPEN %016x %016x c=chat,d=2000,at=s-%08x", i+1, i+1, i))
				}
				took := p.waitUntilReady(began)
				if took > readyTimeout {
					late++
				}
				if strings.Contains(tc.name, "spoilt") {
					p.waitForLog("cached endpoint list is malformed", 1)
				}
			}
			if 10*late > len(relays) {
				t.Errorf("%d of %d relays were not ready within %v", late, len(relays), readyTimeout)
			}
		})
	}
}

// resident is what the program takes of memory, in megabytes.
func (p *relayProcess) residentMB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		p.t.Fatal("no VmRSS")
	}
	kb, err := strconv.Atoi(string(m[1]))
	if err != nil {
		p.t.Fatal(err)
	}
	return kb / 1024
}

// A thousand and twenty-four relays and two thousand servers, within the smallest limits of the platform: at a start, on a
// reload and with a whole list from discovery.
func TestServe_LargeFleetFitsSmallestLimits(t *testing.T) {
	var version atomic.Int64 // of discovery's list, which names some servers fewer each time
	version.Store(2)
	heard := make(chan int64, 64)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	t.Cleanup(d.Close)
	s := processOptions{discovery: d.Listener.Addr().String(), knownEndpoints: unreachableEndpoints(2000), replaceText: [2]string{`"peers":["127.0.0.1:9"]`, peersJSON(1024)}, memoryMB: 32, sockets: 256}
	p := startProcess(t, s)
	p.waitUntilReady(time.Now())
	small := func(when string) {
		t.Helper()
		t.Logf("%s: %d MB", when, p.residentMB())
		if mb := p.residentMB(); mb > 32 && !raceEnabled {
			t.Errorf("%s: %d MB of 32", when, mb)
		}
		fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
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
		s.replaceText[1] = peersJSON(1024 - round - 1)
		p.reloadConfig(s)
		p.waitForLog("configuration reloaded", round+1)
		small("after a reload")
	}
	p.waitUntilReady(time.Now())
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
			p := launchProcess(t, processOptions{discovery: "127.0.0.1:9", replaceText: r})
			err := p.waitForExit()
			if exit := (*exec.ExitError)(nil); !errors.As(err, &exit) || exit.ExitCode() != 1 {
				t.Errorf("exit: %v", err)
			}
			if !strings.HasPrefix(p.log.String(), "aspenbarrow: ") || strings.Contains(p.log.String(), "serving") {
				t.Errorf("said %q", p.log)
			}
		})
	}
}
