package controller

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/membership"
)

// membershipRecorder is a Decider that records the numbers of active relays and counts the gossip that it receives.
type membershipRecorder struct {
	decision.Decider
	observed *membershipObservations
}

type membershipObservations struct {
	activeRelays []int
	gossip       int
}

func (d membershipRecorder) SetActiveRelays(relays int) {
	d.observed.activeRelays = append(d.observed.activeRelays, relays)
}

func (d membershipRecorder) GossipReceived(time.Duration, int, []byte) { d.observed.gossip++ }

// newMembershipPair returns two controllers of a fleet of three that reach each other; the third is never started. advance
// fires timers and delivers datagrams up to a time.
func newMembershipPair(t *testing.T, enabled bool) (controllers [2]*Controller, drivers [2]*fakeDriver, observed [2]*membershipObservations, advance func(until time.Duration)) {
	t.Helper()
	peers := []string{"10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"}
	for i := range controllers {
		observed[i] = &membershipObservations{}
		cfg := testConfig()
		cfg.Peers, cfg.Settings.RelayIndex, cfg.Settings.RelayCount, cfg.Settings.Gossip = peers, i, 3, true
		cfg.NewDecider = func(now time.Duration, seed uint64, settings balance.Settings, actions balance.Actions) decision.Decider {
			return membershipRecorder{balance.New(now, seed, settings, actions), observed[i]}
		}
		if enabled {
			membershipSettings := membership.DefaultSettings("f")
			cfg.Membership = &membershipSettings
		}
		controllers[i], drivers[i] = newTestController(t, cfg)
		controllers[i].JoinMembership(time.Second)
	}
	now := time.Second
	return controllers, drivers, observed, func(until time.Duration) {
		for ; now < until; now += 20 * time.Millisecond {
			for i, controller := range controllers {
				controller.FireTimers(now)
				datagrams := drivers[i].datagrams
				drivers[i].datagrams = nil
				for _, datagram := range datagrams {
					to, data, _ := strings.Cut(datagram, " ")
					if to == peers[1-i] {
						controllers[1-i].DatagramReceived(now, netip.MustParseAddrPort(peers[i]), []byte(data))
					}
				}
			}
		}
	}
}

func TestController_MembershipCountsActiveRelays(t *testing.T) {
	controllers, _, observed, advance := newMembershipPair(t, true)
	advance(8 * time.Second)
	if counts := observed[0].activeRelays; len(counts) == 0 || counts[len(counts)-1] != 2 || counts[0] < 2 {
		t.Errorf("numbers of active relays passed to the balancer: %v; want at least 2 first and 2 last", counts)
	}
	snapshot := controllers[0].Metrics().Snapshot().Membership
	if snapshot == nil || snapshot.ActiveRelays != 2 || snapshot.Members[1].State != "alive" || snapshot.Members[2].State == "alive" {
		t.Errorf("membership metrics: %+v", snapshot)
	}
	from := netip.MustParseAddrPort("10.0.0.3:7946")
	controllers[0].DatagramReceived(8*time.Second, from, []byte("8 bytes."))
	if rejected := controllers[0].metrics.RejectedGossip.Load(); rejected != 1 || observed[0].gossip != 0 {
		t.Errorf("%d datagrams of an inactive relay counted as rejected, %d passed on; want 1, 0", rejected, observed[0].gossip)
	}
	controllers[0].DatagramReceived(8*time.Second, netip.MustParseAddrPort("10.0.0.2:7946"), []byte("8 bytes."))
	if observed[0].gossip != 1 {
		t.Error("gossip of an active relay is not passed on")
	}
	controllers[1].Shutdown(8 * time.Second)
	advance(9 * time.Second)
	if state := controllers[0].membership.list.State(1); state != membership.Left {
		t.Errorf("a relay that has left has state %v", state)
	}
}

func TestController_ReloadTurnsMembershipOffAndOn(t *testing.T) {
	controllers, drivers, observed, advance := newMembershipPair(t, true)
	advance(5 * time.Second)
	cfg := controllers[0].Config()
	enabled := cfg.Membership
	cfg.Membership = nil
	if err := controllers[0].Reload(5*time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	drivers[0].datagrams = nil
	controllers[0].FireTimers(6 * time.Second)
	if len(drivers[0].datagrams) != 0 || controllers[0].membership.list != nil || observed[0].activeRelays[len(observed[0].activeRelays)-1] != 0 {
		t.Errorf("turned off: %d datagrams, numbers of active relays %v", len(drivers[0].datagrams), observed[0].activeRelays)
	}
	cfg.Membership = enabled
	if err := controllers[0].Reload(6*time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	advance(12 * time.Second)
	if controllers[0].membership.activeRelays != 2 || !controllers[1].membership.list.IsActive(0) {
		t.Errorf("turned on again: %d active relays, want 2", controllers[0].membership.activeRelays)
	}
}

func TestController_WithoutMembershipSendsNothing(t *testing.T) {
	controllers, drivers, observed, advance := newMembershipPair(t, false)
	advance(5 * time.Second)
	if len(drivers[0].datagrams) != 0 || len(observed[0].activeRelays) != 0 || controllers[0].Metrics().Snapshot().Membership != nil {
		t.Errorf("membership is off: %d datagrams, numbers of active relays %v", len(drivers[0].datagrams), observed[0].activeRelays)
	}
}

func TestController_HotRestartRaisesIncarnation(t *testing.T) {
	controllers, _, _, advance := newMembershipPair(t, true)
	advance(4 * time.Second)
	text, err := controllers[0].ExportState(4 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	successor, _ := newTestController(t, controllers[0].Config())
	if err := successor.RestoreState(4*time.Second, text); err != nil {
		t.Fatal(err)
	}
	controllers[0].SetReplaced(true)
	successor.JoinMembership(4 * time.Second)
	if before, after := controllers[0].membership.list.Incarnation(), successor.membership.list.Incarnation(); after <= before {
		t.Errorf("the successor has incarnation %d, its predecessor %d", after, before)
	}
}
