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

// counting is a Decider that notes how many relays it is told of and how many notices it gets.
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

// pair is two Nodes of a fleet of three that hear one another; the third was never started. pass has time go by.
func newMembershipPair(t *testing.T, on bool) (nodes [2]*Controller, hosts [2]*fakeDriver, seen [2]*membershipObservations, pass func(until time.Duration)) {
	t.Helper()
	peers := []string{"10.0.0.1:7946", "10.0.0.2:7946", "10.0.0.3:7946"}
	for i := range nodes {
		seen[i] = &membershipObservations{}
		cfg := testConfig()
		cfg.Peers, cfg.Settings.RelayIndex, cfg.Settings.RelayCount, cfg.Settings.Gossip = peers, i, 3, true
		cfg.NewDecider = func(now time.Duration, seed uint64, s balance.Settings, do balance.Actions) decision.Decider {
			return membershipRecorder{balance.New(now, seed, s, do), seen[i]}
		}
		if on {
			s := membership.DefaultSettings("f")
			cfg.Membership = &s
		}
		nodes[i], hosts[i] = newTestController(t, cfg)
		nodes[i].JoinMembership(time.Second)
	}
	now := time.Second
	return nodes, hosts, seen, func(until time.Duration) {
		for ; now < until; now += 20 * time.Millisecond {
			for i, controller := range nodes {
				controller.FireTimers(now)
				told := hosts[i].datagrams
				hosts[i].datagrams = nil
				for _, d := range told {
					to, data, _ := strings.Cut(d, " ")
					if to == peers[1-i] {
						nodes[1-i].DatagramReceived(now, netip.MustParseAddrPort(peers[i]), []byte(data))
					}
				}
			}
		}
	}
}

func TestController_MembershipCountsActiveRelays(t *testing.T) {
	nodes, _, seen, pass := newMembershipPair(t, true)
	pass(8 * time.Second)
	if h := seen[0].activeRelays; len(h) == 0 || h[len(h)-1] != 2 || h[0] < 2 {
		t.Errorf("the module was told of %v relays", h)
	}
	f := nodes[0].Metrics().Snapshot().Membership
	if f == nil || f.ActiveRelays != 2 || f.Members[1].State != "alive" || f.Members[2].State == "alive" {
		t.Errorf("staff are told %+v", f)
	}
	from := netip.MustParseAddrPort("10.0.0.3:7946")
	nodes[0].DatagramReceived(8*time.Second, from, []byte("8 bytes."))
	if n := nodes[0].metrics.RejectedGossip.Load(); n != 1 || seen[0].gossip != 0 {
		t.Errorf("%d notices of relays that are not there were counted, %d taken", n, seen[0].gossip)
	}
	nodes[0].DatagramReceived(8*time.Second, netip.MustParseAddrPort("10.0.0.2:7946"), []byte("8 bytes."))
	if seen[0].gossip != 1 {
		t.Error("a member's notice is not taken")
	}
	nodes[1].Shutdown(8 * time.Second)
	pass(9 * time.Second)
	if st := nodes[0].membership.list.State(1); st != membership.Left {
		t.Errorf("who has left is held %v", st)
	}
}

func TestController_ReloadTurnsMembershipOffAndOn(t *testing.T) {
	nodes, hosts, seen, pass := newMembershipPair(t, true)
	pass(5 * time.Second)
	cfg := nodes[0].Config()
	on := cfg.Membership
	cfg.Membership = nil
	if err := nodes[0].Reload(5*time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	hosts[0].datagrams = nil
	nodes[0].FireTimers(6 * time.Second)
	if len(hosts[0].datagrams) != 0 || nodes[0].membership.list != nil || seen[0].activeRelays[len(seen[0].activeRelays)-1] != 0 {
		t.Errorf("turned off: %d datagrams, the module was told of %v relays", len(hosts[0].datagrams), seen[0].activeRelays)
	}
	cfg.Membership = on
	if err := nodes[0].Reload(6*time.Second, cfg, 256); err != nil {
		t.Fatal(err)
	}
	pass(12 * time.Second)
	if nodes[0].membership.activeRelays != 2 || !nodes[1].membership.list.IsActive(0) {
		t.Errorf("turned on again: %d relays", nodes[0].membership.activeRelays)
	}
}

func TestController_WithoutMembershipSendsNothing(t *testing.T) {
	nodes, hosts, seen, pass := newMembershipPair(t, false)
	pass(5 * time.Second)
	if len(hosts[0].datagrams) != 0 || len(seen[0].activeRelays) != 0 || nodes[0].Metrics().Snapshot().Membership != nil {
		t.Errorf("%d datagrams, told %v", len(hosts[0].datagrams), seen[0].activeRelays)
	}
}

func TestController_IncarnationOutlastsHotRestart(t *testing.T) {
	nodes, _, _, pass := newMembershipPair(t, true)
	pass(4 * time.Second)
	text, err := nodes[0].ExportState(4 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	next, _ := newTestController(t, nodes[0].Config())
	if err := next.RestoreState(4*time.Second, text); err != nil {
		t.Fatal(err)
	}
	nodes[0].SetReplaced(true)
	next.JoinMembership(4 * time.Second)
	if a, b := nodes[0].membership.list.Incarnation(), next.membership.list.Incarnation(); b <= a {
		t.Errorf("the next process begins at %d, the one before had %d", b, a)
	}
}
