package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/membership"
)

const (
	// membershipPublishInterval is how often the admin endpoint's view of the members is updated.
	membershipPublishInterval = time.Second
	// replacedPollInterval is how often a replaced process checks whether its successor still accepts connections.
	replacedPollInterval = 100 * time.Millisecond
)

// membershipState is the state of this relay's membership protocol.
type membershipState struct {
	list                *membership.Memberlist // nil: off
	activeRelays        int                    // last number passed to the balancer; 0: not known
	publishedAt         time.Duration
	previousIncarnation uint64 // of the predecessor process, or of the list before a reload
}

// JoinMembership starts the membership protocol if it is configured. In a successor process it is called once the process
// serves, so that two processes never take part in the protocol as one relay.
func (c *Controller) JoinMembership(now time.Duration) {
	if c.config.Membership == nil || c.membership.list != nil {
		return
	}
	c.deliver(now, func() { c.restartMembership(&c.config) })
}

// restartMembership restarts the protocol with new peers or settings, or stops it.
func (c *Controller) restartMembership(cfg *Config) {
	if cfg.Membership == nil || c.settings.RelayIndex >= len(cfg.Peers) {
		c.stopMembership()
		return
	}
	if c.membership.list != nil {
		c.membership.previousIncarnation = c.membership.list.Incarnation()
	} else {
		c.setTimer(membershipTimer, 0, 0)
	}
	local := membership.LocalNode{
		Index:               c.settings.RelayIndex,
		Name:                cfg.Name,
		StartMillis:         uint64(c.startedAt / time.Millisecond),
		PreviousIncarnation: c.membership.previousIncarnation,
	}
	c.membership.list = membership.New(c.now, cfg.Seed, *cfg.Membership, local, len(cfg.Peers))
}

func (c *Controller) stopMembership() {
	if c.membership.list == nil {
		return
	}
	c.membership.list = nil
	c.setActiveRelays(0)
	c.balancer.UpdateSettings(c.effectiveSettings())
}

func (c *Controller) membershipTick() {
	list := c.membership.list
	if list == nil { // stopped: the timer is not set again
		return
	}
	if c.replaced.Load() { // the successor takes part in the protocol for this relay
		c.setTimer(membershipTimer, 0, replacedPollInterval)
		return
	}
	c.sendMembership(list.Tick(c.now))
	if active := list.ActiveCount(); active != c.membership.activeRelays {
		c.setActiveRelays(active)
	}
	if c.now-c.membership.publishedAt >= membershipPublishInterval {
		c.membership.publishedAt = c.now
		c.metrics.SetMembership(list, c.now)
	}
	c.setTimer(membershipTimer, 0, max(0, list.NextTick()-c.now))
}

// setActiveRelays passes the number of active relays to the balancer; 0: not known any more.
func (c *Controller) setActiveRelays(active int) {
	c.log.Info("active relay count changed", zap.Int("before", c.membership.activeRelays), zap.Int("now", active))
	c.membership.activeRelays = active
	c.balancer.SetActiveRelays(active)
}

func (c *Controller) sendMembership(packets []membership.Packet) {
	for _, packet := range packets {
		if packet.To < len(c.config.Peers) {
			c.driver.SendDatagram(c.config.Peers[packet.To], packet.Data)
		}
	}
}

// membershipDatagram handles a peer's datagram if it is a membership message, or gossip of a relay that is not active,
// which is rejected. It returns false for gossip of an active relay, which is for the balancer.
func (c *Controller) membershipDatagram(now time.Duration, peer int, data []byte) (handled bool) {
	if membership.IsMessage(data) {
		c.deliver(now, func() { c.sendMembership(c.membership.list.HandlePacket(c.now, peer, data)) })
		return true
	}
	if c.membership.list.IsActive(peer) {
		return false
	}
	c.metrics.RejectedGossip.Add(1)
	c.log.Warn("gossip from inactive relay rejected", zap.Int("relay", peer))
	return true
}

// leaveMembership notifies the other relays that this one leaves, unless a successor has replaced this process.
func (c *Controller) leaveMembership() {
	if c.membership.list != nil && !c.replaced.Load() {
		c.sendMembership(c.membership.list.Leave(c.now))
	}
}

func sameMembership(a, b *membership.Settings) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// MemberStates returns the state of each relay in this relay's view, by its index in the list of peers; nil if membership
// is off.
func (c *Controller) MemberStates() []membership.State {
	if c.membership.list == nil {
		return nil
	}
	states := make([]membership.State, len(c.config.Peers))
	for i := range states {
		states[i] = c.membership.list.State(i)
	}
	return states
}
