package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/membership"
)

// membershipInterval is how often staff's view is made.
const membershipInterval = time.Second

// replacedPollInterval is how often a process that another has replaced looks whether it still is.
const replacedPollInterval = 100 * time.Millisecond

// JoinMembership begins to find out which relays are there, where the configuration wants it. A process that takes over from
// another calls it once it serves, so that the two never speak at once.
func (n *Controller) JoinMembership(now time.Duration) {
	if n.cfg.Membership == nil || n.membership != nil {
		return
	}
	n.deliver(now, func() { n.restartMembership(&n.cfg) })
}

// restartMembership begins anew, by another list of peers or other settings.
func (n *Controller) restartMembership(cfg *Config) {
	if cfg.Membership == nil || n.settings.RelayIndex >= len(cfg.Peers) {
		if n.membership != nil {
			n.membership = nil
			n.setActiveRelays(0)
			n.balancer.UpdateSettings(n.effectiveSettings())
		}
		return
	}
	if n.membership != nil {
		n.inheritedIncarnation = n.membership.Incarnation()
	} else {
		n.setTimer(membershipTimer, 0, 0)
	}
	n.membership = membership.New(n.now, cfg.Seed, *cfg.Membership, membership.LocalNode{Index: n.settings.RelayIndex, Name: cfg.Name,
		StartMillis: uint64(n.startedAt / time.Millisecond), PreviousIncarnation: n.inheritedIncarnation}, len(cfg.Peers))
}

func (n *Controller) membershipTick() {
	if n.membership == nil { // turned off: the timer ends with it
		return
	}
	if n.replaced.Load() { // the next process speaks
		n.setTimer(membershipTimer, 0, replacedPollInterval)
		return
	}
	n.sendMembership(n.membership.Tick(n.now))
	if here := n.membership.ActiveCount(); here != n.activeRelays {
		n.setActiveRelays(here)
	}
	if n.now-n.membershipPublishedAt >= membershipInterval {
		n.membershipPublishedAt = n.now
		n.metrics.SetMembership(n.membership, n.now)
	}
	n.setTimer(membershipTimer, 0, max(0, n.membership.NextTick()-n.now))
}

// setActiveRelays tells the module how many relays there are; 0: nobody knows any more.
func (n *Controller) setActiveRelays(here int) {
	n.log.Info("relays here", zap.Int("before", n.activeRelays), zap.Int("now", here))
	n.activeRelays = here
	n.balancer.SetActiveRelays(here)
}

func (n *Controller) sendMembership(out []membership.Packet) {
	for _, o := range out {
		if o.To < len(n.cfg.Peers) {
			n.driver.SendDatagram(n.cfg.Peers[o.To], o.Data)
		}
	}
}

// membershipDatagram takes in a datagram of a relay in the list. It returns false for an older version's notice of a slow
// server, which is taken from who is there alone.
func (n *Controller) membershipDatagram(now time.Duration, from int, data []byte) bool {
	if membership.IsMessage(data) {
		n.deliver(now, func() { n.sendMembership(n.membership.HandlePacket(n.now, from, data)) })
		return true
	}
	if n.membership.IsActive(from) {
		return false
	}
	n.metrics.RejectedGossip.Add(1)
	n.log.Warn("notice of a relay that is not there", zap.Int("relay", from))
	return true
}

// leaveMembership tells the others that this relay leaves, unless its next process goes on.
func (n *Controller) leaveMembership() {
	if n.membership != nil && !n.replaced.Load() {
		n.sendMembership(n.membership.Leave(n.now))
	}
}

func sameMembership(a, b *membership.Settings) bool {
	return a == b || a != nil && b != nil && *a == *b
}
