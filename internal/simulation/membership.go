package simulation

import (
	"math/rand/v2"
	"slices"
	"time"

	"aspenbarrow/internal/invariant"
	"aspenbarrow/internal/membership"
)

const (
	// membershipStream selects the PCG stream that decides about membership, so that the other draws of a seed do not
	// depend on it.
	membershipStream = 0x3e3b
	// membershipSeeds is how many seeds there are for each one with membership.
	membershipSeeds = 3
	// membershipCheckInterval is how often the checker compares the views of the relays, and hears of the links.
	membershipCheckInterval = 50 * time.Millisecond
	// membershipFleet is the name of the fleet that all relays belong to.
	membershipFleet = "fleet"

	// excusingLossRate and excusingDelay are the loss and the delay of datagrams beyond which a link counts as cut.
	excusingLossRate = 0.2
	excusingDelay    = 500 * time.Millisecond
	// normalLossRate and normalDatagramDelay are the loss and the longest delay of datagrams without faults.
	normalLossRate      = 0.02
	normalDatagramDelay = 40 * time.Millisecond
)

// memberStates are the states of package membership as the invariant checker names them.
var memberStates = map[membership.State]invariant.MemberState{
	membership.Joining: invariant.MemberUnknown,
	membership.Alive:   invariant.MemberAlive,
	membership.Suspect: invariant.MemberSuspect,
	membership.Dead:    invariant.MemberDead,
	membership.Left:    invariant.MemberLeft,
}

// drawMembership decides whether the relays of the run detect which of them are running.
func (run *run) drawMembership() {
	run.membershipRand = rand.New(rand.NewPCG(run.options.Seed, membershipStream))
	drawn := run.membershipRand.IntN(membershipSeeds) == 0
	if installation := run.options.Installation; installation != nil {
		drawn = installation.Membership
	}
	if !drawn {
		return
	}
	run.membership = true
	run.count("membership")
}

// startMembershipChecks has the checker watch the relays' membership.
func (run *run) startMembershipChecks(relays int) {
	if !run.membership {
		return
	}
	run.relayCuts = make([][]int, relays)
	for i := range run.relayCuts {
		run.relayCuts[i] = make([]int, relays)
	}
	run.checker.WatchMembership()
	run.engine.schedule(membershipCheckInterval, run.checkMembership)
}

// checkMembership reports the state of the links to the checker and has it compare the views, at regular intervals.
func (run *run) checkMembership() {
	run.reportLinks()
	run.checker.CheckMembership()
	run.engine.schedule(membershipCheckInterval, run.checkMembership)
}

// reportLinks reports to the checker which links between relays are cut.
func (run *run) reportLinks() {
	anyImpaired := false
	for from := range run.relays {
		for to := range run.relays {
			if from != to {
				cut, impaired := run.relayLinkState(run.relays[from], run.relays[to])
				run.checker.SetRelayLink(from, to, cut)
				anyImpaired = anyImpaired || impaired
			}
		}
	}
	run.checker.SetRelayLinksImpaired(anyImpaired)
}

// relayLinkState reports whether datagrams from one relay to another are cut off, or lost and delayed to a lesser extent.
func (run *run) relayLinkState(from, to *relay) (cut, impaired bool) {
	loss := normalLossRate + run.engine.conditions.datagramLossRate + run.datagramImpairment.lossRate
	delay := normalDatagramDelay + run.datagramImpairment.maxDelay
	cut = run.relayLinkCut(from.number, to.number)
	for _, l := range run.engine.activeLinkFaults(from.host, to.host) {
		cut = cut || l.link.Partitioned || l.link.Buffered
		loss += l.link.LossRate
		delay += l.link.Delay + l.link.Jitter
	}
	cut = cut || loss > excusingLossRate || delay > excusingDelay
	return cut, loss > normalLossRate || delay > normalDatagramDelay
}

// relayLinkCut reports whether a fault of membership cuts the link from one relay to another.
func (run *run) relayLinkCut(from, to int) bool {
	return run.relayCuts != nil && run.relayCuts[from][to] > 0
}

// datagramImpairment is a fault that impairs all datagrams between relays.
type datagramImpairment struct {
	lossRate      float64 // in addition to normalLossRate
	duplicateRate float64
	maxDelay      time.Duration // in addition to normalDatagramDelay
}

// joinMembership starts the membership protocol of a process that serves.
func (r *relay) joinMembership() {
	r.heldStates = nil
	r.controller.JoinMembership(r.engine.now)
	r.scheduleTimer()
	r.observeMembers()
}

// observeMembers reports to the checker what has changed in this relay's view of the others.
func (r *relay) observeMembers() {
	if !r.run.membership || r.run.relays[r.number] != r {
		return
	}
	states := r.controller.MemberStates()
	if slices.Equal(states, r.heldStates) {
		return
	}
	for i, state := range states {
		if r.heldStates != nil && state == r.heldStates[i] {
			continue
		}
		if r.engine.trace != nil {
			r.engine.tracef("%s holds n%d %v", r.name, i, state)
		}
		r.run.checker.MemberObserved(r.number, i, memberStates[state])
		if i != r.number {
			r.run.count("member " + state.String())
		}
	}
	r.heldStates = states
}
