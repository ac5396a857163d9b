package main

import (
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// TestReload_SwitchesDiscoveryAddressImmediately reloads with another discovery address: the pending watch at the old
// one is cancelled and the complete list comes from the new one, although its version is lower and the environment
// still names the old address.
func TestReload_SwitchesDiscoveryAddressImmediately(t *testing.T) {
	before, after := &fake.Backend{}, &fake.Backend{}
	old, endpoints := startBackends(t, before, after)
	old.SetVersion(1000)
	old.SetEndpoints(endpoints[0])
	fresh := &fake.Discovery{}
	if err := fresh.Listen("127.0.0.1:0", endpoints[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	process := startProcess(t, processOptions{discovery: old.Addr(), knownEndpoints: endpoints[:1], environment: []string{"PROXY_DISCOVERY=" + old.Addr()}})
	held := process.openSession(openRequest(""))
	waitFor(t, "the old agent is watched", func() bool { return old.WaitingCalls() > 0 })
	asked := time.Now()
	process.reloadConfig(processOptions{discovery: fresh.Addr(), knownEndpoints: endpoints[:1]})
	held.expect("MOVE") // its backend is not in the new list
	if took := time.Since(asked); took > 3*time.Second {
		t.Errorf("the new list was taken after %v", took)
	}
	process.openSession(openRequest(""))
	if len(after.OpenLines()) != 1 || len(before.OpenLines()) != 1 {
		t.Errorf("%d opens at the old backend, %d at the new", len(before.OpenLines()), len(after.OpenLines()))
	}
	if n := old.WaitingCalls(); n != 0 {
		t.Errorf("%d calls are still out at the old agent", n)
	}
}

func TestReload_UnderLoadKeepsSessions(t *testing.T) {
	backend := &fake.Backend{}
	process, discovery, endpoints := startWithBackends(t, processOptions{}, backend)
	other := &fake.Discovery{}
	if err := other.Listen("127.0.0.1:0", endpoints...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	var held []*client
	for range 10 {
		held = append(held, process.openSession(openRequest("")))
	}
	for i := range 6 {
		at := []string{other.Addr(), discovery.Addr()}[i%2]
		if i == 4 { // nobody answers there
			at = "127.0.0.1:9"
		}
		process.reloadConfig(processOptions{discovery: at, knownEndpoints: endpoints})
		for _, c := range held {
			c.send("still " + strconv.Itoa(i))
			c.expect("echo still " + strconv.Itoa(i))
		}
		held = append(held, process.openSession(openRequest("")))
		process.waitForLog(`"msg":"configuration reloaded"`, i+1)
	}
	if err := process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	process.reloadConfig(processOptions{discovery: discovery.Addr(), knownEndpoints: endpoints}) // while it leaves, too
	for _, c := range held {
		c.expect("MOVE")
	}
	if err := process.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestReload_InvalidFileKeepsRunningConfiguration(t *testing.T) {
	process, discovery, endpoints := startWithBackends(t, processOptions{}, &fake.Backend{})
	for i, r := range [][2]string{{`"seed"`, `seed`}, {`"no`, `"no`}, {`"full":true`, `"full":"yes"`},
		{`"memory_mb":192`, `"memory_mb":-1`}, {discovery.Addr(), "nowhere"}} {
		if i == 1 { // no file at all
			if err := os.Remove(process.configPath); err != nil {
				t.Fatal(err)
			}
			if err := process.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		} else {
			process.reloadConfig(processOptions{discovery: discovery.Addr(), knownEndpoints: endpoints, replaceText: r})
		}
		process.waitForLog(`"msg":"configuration not taken, the running one stays"`, i+1)
		process.openSession(openRequest(""))
	}
	process.reloadConfig(processOptions{discovery: discovery.Addr(), knownEndpoints: endpoints, sockets: 512, replaceText: [2]string{`"on-time-ms":500`, `"on-time-ms":400`}})
	process.waitForLog(`"taken":["limits","settings"]`, 1)
}
