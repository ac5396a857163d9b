package invariant

import (
	"strings"
	"testing"
	"time"
)

// fleet drives a checker that watches the membership of three relays on its own clock.
type fleet struct {
	*Checker
	clock time.Duration
}

func newFleet() *fleet {
	f := &fleet{clock: start}
	f.Checker = New(Limits{}, 3, func() time.Duration { return f.clock }, func(time.Duration, func()) {})
	f.WatchMembership()
	for relay := range f.relays {
		f.RelayStarted(relay, "agent", nil)
	}
	for observer := range f.relays {
		for member := range f.relays {
			f.MemberObserved(observer, member, MemberAlive)
		}
	}
	return f
}

// advance moves the clock forward in steps of a tick and checks the views after each.
func (f *fleet) advance(d time.Duration) {
	for until := f.clock + d; f.clock < until; {
		f.clock += membershipTick
		f.CheckMembership()
	}
}

// rules returns the rules that were violated, in the order observed.
func (f *fleet) rules() string {
	var rules []string
	for _, v := range f.Violations {
		rules = append(rules, v.Rule)
	}
	return strings.Join(rules, " ")
}

// A checker that reports nothing, or reports what is allowed, is of no use: each case is one side of a bound.
func TestChecker_MembershipViews(t *testing.T) {
	const tick = membershipTick
	for _, tc := range []struct {
		name  string
		drive func(f *fleet)
		want  string
	}{
		{"nothing happens", func(f *fleet) { f.advance(time.Minute) }, ""},
		{"a reachable relay is marked dead", func(f *fleet) {
			f.advance(membershipReachableFor)
			f.MemberObserved(0, 1, MemberDead)
		}, RuleMembershipAccuracy},
		{"a relay is marked dead by one that was paused until now", func(f *fleet) {
			f.SetRelayPaused(0, true)
			f.advance(membershipReachableFor)
			f.SetRelayPaused(0, false)
			f.MemberObserved(0, 1, MemberDead)
		}, RuleMembershipAccuracy},
		{"a paused relay is marked dead", func(f *fleet) {
			f.advance(time.Minute)
			f.SetRelayPaused(1, true)
			f.MemberObserved(0, 1, MemberDead)
		}, ""},
		{"a relay is marked dead over a link cut one way until shortly before", func(f *fleet) {
			f.SetRelayLink(1, 0, true)
			f.advance(5 * time.Second)
			f.SetRelayLink(1, 0, false)
			f.advance(membershipReachableFor - tick)
			f.MemberObserved(0, 1, MemberDead)
		}, ""},
		{"a relay marked dead during a partition stays so after its end", func(f *fleet) {
			f.SetRelayLink(1, 0, true)
			f.MemberObserved(0, 1, MemberDead)
			f.advance(5 * time.Second)
			f.SetRelayLink(1, 0, false)
			f.advance(membershipConvergence + tick)
		}, RuleMembershipAccuracy},
		{"a suspicion does not end", func(f *fleet) {
			f.MemberObserved(0, 1, MemberSuspect)
			f.advance(membershipDetection + tick)
		}, RuleMembershipRefutation},
		{"a suspicion ends in time", func(f *fleet) {
			f.MemberObserved(0, 1, MemberSuspect)
			f.advance(membershipDetection)
			f.MemberObserved(0, 1, MemberAlive)
			f.advance(time.Minute)
		}, ""},
		{"a killed relay stays alive to one of two", func(f *fleet) {
			f.advance(membershipConvergence)
			f.RelayStopped(1)
			f.advance(membershipDetection - tick)
			f.MemberObserved(0, 1, MemberDead)
			f.advance(2 * tick)
		}, RuleMembershipCompleteness},
		{"an observer whose links were cut until shortly before has the time until views agree", func(f *fleet) {
			f.advance(membershipConvergence)
			f.SetRelayLink(0, 2, true)
			f.advance(tick)
			f.SetRelayLink(0, 2, false)
			f.RelayStopped(1)
			f.MemberObserved(2, 1, MemberDead)
			f.advance(membershipConvergence)
			f.MemberObserved(0, 1, MemberDead)
			f.advance(time.Minute)
		}, ""},
		{"and no more than that", func(f *fleet) {
			f.SetRelayLink(0, 2, true)
			f.advance(tick)
			f.SetRelayLink(0, 2, false)
			f.RelayStopped(1)
			f.MemberObserved(2, 1, MemberDead)
			f.advance(membershipConvergence + tick)
		}, RuleMembershipCompleteness},
		{"a relay that returns from a leave is never heard", func(f *fleet) {
			f.RelayLeaves(1)
			f.MemberObserved(0, 1, MemberLeft)
			f.MemberObserved(2, 1, MemberLeft)
			f.RelayStopped(1)
			f.RelayStarted(1, "agent", nil)
			f.MemberObserved(1, 0, MemberAlive)
			f.MemberObserved(1, 2, MemberAlive)
			f.MemberObserved(2, 1, MemberAlive)
			f.advance(membershipConvergence + tick)
		}, RuleMembershipConvergence},
		{"a relay that announced its leave is marked dead", func(f *fleet) {
			f.advance(membershipReachableFor)
			f.RelayLeaves(1)
			f.RelayStopped(1)
			f.MemberObserved(0, 1, MemberDead)
		}, RuleMembershipLeave},
		{"a relay that left while its link was cut is marked dead", func(f *fleet) {
			f.advance(membershipReachableFor)
			f.SetRelayLink(1, 0, true)
			f.RelayLeaves(1)
			f.RelayStopped(1)
			f.MemberObserved(0, 1, MemberDead)
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			tc.drive(f)
			if got := f.rules(); got != tc.want {
				t.Errorf("violated %q, want %q: %v", got, tc.want, f.Violations)
			}
		})
	}
}

// testDatagram is a datagram as a relay sends it, with the sender's incarnation and one update.
func testDatagram(incarnation byte, member int, state MemberState, reported byte) []byte {
	return []byte{membershipMagic, 8, 1, 18, 1, 'f', 26, 1, 'n', 32, 5, 40, incarnation, 48, 1, 56, 3,
		updatesField<<3 | wireBytes, 2, byte(member<<stateBits) | byte(state), reported}
}

// The rules on datagrams read the wire form by themselves. A relay that answers a report of its suspicion with the same
// incarnation has not refuted it; one that answers with a lower one would be taken for an earlier process.
func TestChecker_MembershipDatagrams(t *testing.T) {
	for _, tc := range []struct {
		name  string
		drive func(f *fleet)
		want  string
	}{
		{"a suspicion is refuted", func(f *fleet) {
			f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
			f.DatagramDelivered(0, testDatagram(3, 0, MemberSuspect, 7))
			f.clock++
			f.DatagramSent(0, testDatagram(8, 1, MemberAlive, 3))
		}, ""},
		{"a suspicion is not refuted", func(f *fleet) {
			f.DatagramDelivered(0, testDatagram(3, 0, MemberSuspect, 7))
			f.clock++
			f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
		}, RuleMembershipRefutation},
		{"a datagram of the same moment was encoded before", func(f *fleet) {
			f.DatagramDelivered(0, testDatagram(3, 0, MemberSuspect, 7))
			f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
		}, ""},
		{"a report of another relay needs no refutation", func(f *fleet) {
			f.DatagramDelivered(0, testDatagram(3, 1, MemberSuspect, 7))
			f.clock++
			f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
		}, ""},
		{"an incarnation falls", func(f *fleet) {
			f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
			f.RelayStopped(0)
			f.RelayStarted(0, "agent", nil)
			f.DatagramSent(0, testDatagram(6, 1, MemberAlive, 3))
		}, RuleMembershipRefutation},
		{"a datagram is cut short", func(f *fleet) {
			datagram := testDatagram(7, 1, MemberAlive, 3)
			f.DatagramSent(0, datagram[:len(datagram)-1])
		}, RuleMembershipSize},
		{"a datagram is large", func(f *fleet) {
			for _, size := range []int{maxMembershipDatagram, maxMembershipDatagram + 1} {
				datagram := testDatagram(7, 1, MemberAlive, 3)
				padding := size - len(datagram) - 3
				datagram = append(datagram, 15<<3|wireBytes, byte(padding)|0x80, byte(padding>>7))
				f.DatagramSent(0, append(datagram, make([]byte, padding)...))
			}
		}, RuleMembershipSize},
		{"an overload notice of eight bytes is none", func(f *fleet) {
			f.DatagramSent(0, []byte{membershipMagic, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
		}, ""},
		{"datagrams at rest exceed the rate", func(f *fleet) {
			f.advance(membershipConvergence)
			for range membershipRateInterval/membershipTick + 2 {
				f.advance(membershipTick)
				for range 10 {
					f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3)) // 2,100 bytes a second
				}
			}
		}, RuleMembershipSize},
		{"the same rate after a change", func(f *fleet) {
			for range membershipRateInterval/membershipTick + 2 {
				f.advance(membershipTick)
				for range 10 {
					f.DatagramSent(0, testDatagram(7, 1, MemberAlive, 3))
				}
			}
		}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet()
			tc.drive(f)
			if got := f.rules(); got != tc.want {
				t.Errorf("violated %q, want %q: %v", got, tc.want, f.Violations)
			}
		})
	}
}

// A relay that is paused during its drain cannot migrate its clients. The deadline starts anew when it is resumed, and applies then.
func TestChecker_PausedDuringDrainHasDeadlineAfterPause(t *testing.T) {
	n := newNetwork()
	n.session()
	n.SetRelayDraining(0, true)
	n.advance(3 * time.Second)
	n.SetRelayPaused(0, true)
	n.advance(time.Second)
	n.SetRelayPaused(0, false)
	n.advance(drainDeadline - time.Second)
	if len(n.Violations) != 0 {
		t.Errorf("before the deadline: %v", n.Violations)
	}
	n.advance(time.Second)
	n.advance(time.Second)
	if len(n.Violations) == 0 || n.Violations[0].Rule != RuleDrained {
		t.Errorf("after the deadline: %v, want %s", n.Violations, RuleDrained)
	}
}
