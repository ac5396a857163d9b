package main

import (
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// After a reload the old agent is left in the middle of its watch, and the whole list comes from the
// new one, though its version is lower and the environment still names the old one.
func TestReload_SwitchesDiscoveryAddressImmediately(t *testing.T) {
	before, after := &fake.Backend{}, &fake.Backend{}
	old, list := startBackends(t, before, after)
	old.SetVersion(1000)
	old.SetEndpoints(list[0])
	fresh := &fake.Discovery{}
	if err := fresh.Listen("127.0.0.1:0", list[1]); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fresh.Close)
	p := startProcess(t, processOptions{discovery: old.Addr(), knownEndpoints: list[:1], environment: []string{"PROXY_DISCOVERY=" + old.Addr()}})
	held := p.openSession(openRequest(""))
	waitFor(t, "the old agent is watched", func() bool { return old.WaitingCalls() > 0 })
	asked := time.Now()
	p.reloadConfig(processOptions{discovery: fresh.Addr(), knownEndpoints: list[:1]})
	held.expect("MOVE") // its backend is not in the new list
	if took := time.Since(asked); took > 3*time.Second {
		t.Errorf("the new list was taken after %v", took)
	}
	p.openSession(openRequest(""))
	if len(after.OpenLines()) != 1 || len(before.OpenLines()) != 1 {
		t.Errorf("%d opens at the old backend, %d at the new", len(before.OpenLines()), len(after.OpenLines()))
	}
	if n := old.WaitingCalls(); n != 0 {
		t.Errorf("%d calls are still out at the old agent", n)
	}
}

func TestReload_UnderLoadKeepsSessions(t *testing.T) {
	b := &fake.Backend{}
	p, d, list := startWithBackends(t, processOptions{}, b)
	other := &fake.Discovery{}
	if err := other.Listen("127.0.0.1:0", list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(other.Close)
	var held []*client
	for range 10 {
		held = append(held, p.openSession(openRequest("")))
	}
	for i := range 6 {
		at := []string{other.Addr(), d.Addr()}[i%2]
		if i == 4 { // nobody answers there
			at = "127.0.0.1:9"
		}
		p.reloadConfig(processOptions{discovery: at, knownEndpoints: list})
		for _, c := range held {
			c.send("still " + strconv.Itoa(i))
			c.expect("echo still " + strconv.Itoa(i))
		}
		held = append(held, p.openSession(openRequest("")))
		p.waitForLog(`"msg":"configuration reloaded"`, i+1)
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	p.reloadConfig(processOptions{discovery: d.Addr(), knownEndpoints: list}) // while it leaves, too
	for _, c := range held {
		c.expect("MOVE")
	}
	if err := p.waitForExit(); err != nil {
		t.Errorf("exit: %v", err)
	}
}

func TestReload_InvalidFileKeepsRunningConfiguration(t *testing.T) {
	p, d, list := startWithBackends(t, processOptions{}, &fake.Backend{})
	for i, r := range [][2]string{{`"seed"`, `seed`}, {`"no`, `"no`}, {`"full":true`, `"full":"yes"`},
		{`"memory_mb":192`, `"memory_mb":-1`}, {d.Addr(), "nowhere"}} {
		if i == 1 { // no file at all
			if err := os.Remove(p.configPath); err != nil {
				t.Fatal(err)
			}
			if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		} else {
			p.reloadConfig(processOptions{discovery: d.Addr(), knownEndpoints: list, replaceText: r})
		}
		p.waitForLog(`"msg":"configuration not taken, the running one stays"`, i+1)
		p.openSession(openRequest(""))
	}
	p.reloadConfig(processOptions{discovery: d.Addr(), knownEndpoints: list, sockets: 512, replaceText: [2]string{`"on-time-ms":500`, `"on-time-ms":400`}})
	p.waitForLog(`"taken":["limits","settings"]`, 1)
}
