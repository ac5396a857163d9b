package main

import (
	"fmt"
	"time"
)

func init() { cases["known"] = playKnown }

const (
	// almatyGrace is the grace of almaty-status with the 50 ms that sockets add.
	almatyGrace = 1550 * time.Millisecond

	// almatyDeadline is the longest deadline of almaty-status.
	almatyDeadline = 1200 * time.Millisecond
)

// almatySettings are settings like those of almaty-status: connections end at the relay, lists are polled, and there are no probes.
func almatySettings() object {
	s := smallSettings([]class{{name: "status-watch", effect: "read_like", onTime: 300, giveUp: 1200, worth: 1}})
	s["registry-mode"] = "on_request"
	s["stats"] = object{"fields": []string{}, "how": "off"}
	family := s["family-info"].(object)
	family["mode"], family["park-ms"], family["tells-delay"] = "proxy", 0.0, false
	limits := s["limits"].(object)
	limits["probes"], limits["try-limit"] = false, 6
	rules := s["rules"].(object)
	rules["stop-sending-within-ms"], rules["fall-ms"] = 1500.0, 1500.0
	return s
}

// playKnown replaces a process during an outage of discovery and then the configuration, whose list of backends is old.
func playKnown(w *world) error {
	opens := newOpenings()
	_, entries, err := w.startBackends(5, opens.record)
	if err != nil {
		return err
	}
	a, err := w.startAgent(entries[:4])
	if err != nil {
		return err
	}
	config, err := w.smallConfig("n0", a.addr, defaultClasses(), a.whole())
	if err != nil {
		return err
	}
	config.settings = almatySettings()
	first, err := w.startRelay("n0-old", config)
	if err != nil {
		return err
	}
	if err := first.awaitReady(); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go w.sessions(config.listen, 100*time.Millisecond, 20*time.Second, almatyDeadline, stop)
	time.Sleep(time.Second)
	a.addEntry(entries[4])
	recorded := a.whole() // the platform records this list as the one that the relay last had
	time.Sleep(2 * time.Second)
	a.setState("s-1", "draining")
	drained := time.Now()
	time.Sleep(2 * time.Second)
	if w.trouble {
		a.setSilent(true)
	}
	return w.replaceDuringOutage(config, first, recorded, opens, drained)
}

func (w *world) replaceDuringOutage(config *relayConfig, first *relayProcess, recorded list, opens *openings, drained time.Time) error {
	var err error
	next := *config
	if next.management, err = freeAddress(); err != nil {
		return err
	}
	second, err := w.startRelay("n0-new", &next)
	if err != nil {
		return err
	}
	if err := second.awaitReady(); err != nil {
		return err
	}
	first.stop(almatyDeadline)
	time.Sleep(time.Second)
	before := opens.after("s-1", drained.Add(almatyGrace))
	next.known = recorded
	if _, err := next.write(w); err != nil {
		return err
	}
	second.signal(hangUp)
	time.Sleep(7 * time.Second)
	late := opens.after("s-1", drained.Add(almatyGrace))
	w.logf("case      s-1 received %d OPEN lines later than %v after its drain, %d of them before SIGHUP", late, almatyGrace, before)
	if late > 0 {
		return fmt.Errorf("%w: the draining backend received %d new connections after its drain was told", errRuleBroken, late)
	}
	return nil
}
