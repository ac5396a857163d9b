// This file owns what a Node does with its view of the other relays: when it speaks, what it takes from whom, and the one
// figure of it that the module hears. It must never have a decision rest on a single relay's word, nor speak for a
// process that another has replaced.

package machine

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/membership"
)

// viewEvery is how often staff's view is made.
const viewEvery = time.Second

// replacedLook is how often a process that another has replaced looks whether it still is.
const replacedLook = 100 * time.Millisecond

// Join begins to find out which relays are there, where the configuration wants it. A process that takes over from
// another calls it once it serves, so that the two never speak at once.
func (n *Node) Join(now time.Duration) {
	if n.cfg.Membership == nil || n.members != nil {
		return
	}
	n.run(now, func() { n.rejoin(&n.cfg) })
}

// rejoin begins anew, by another list of peers or other settings.
func (n *Node) rejoin(cfg *Config) {
	if cfg.Membership == nil || n.set.RelayIndex >= len(cfg.Peers) {
		if n.members != nil {
			n.members = nil
			n.hear(0)
			n.balancer.UpdateSettings(n.believed())
		}
		return
	}
	if n.members != nil {
		n.handed = n.members.Incarnation()
	} else {
		n.after(memberTimer, 0, 0)
	}
	n.members = membership.New(n.now, cfg.Seed, *cfg.Membership, membership.LocalNode{Index: n.set.RelayIndex, Name: cfg.Name,
		StartMillis: uint64(n.born / time.Millisecond), PreviousIncarnation: n.handed}, len(cfg.Peers))
}

func (n *Node) memberTick() {
	if n.members == nil { // turned off: the timer ends with it
		return
	}
	if n.replaced.Load() { // the next process speaks
		n.after(memberTimer, 0, replacedLook)
		return
	}
	n.passOn(n.members.Tick(n.now))
	if here := n.members.ActiveCount(); here != n.here {
		n.hear(here)
	}
	if n.now-n.viewed >= viewEvery {
		n.viewed = n.now
		n.book.members(n.members, n.now)
	}
	n.after(memberTimer, 0, max(0, n.members.NextTick()-n.now))
}

// hear tells the module how many relays there are; 0: nobody knows any more.
func (n *Node) hear(here int) {
	n.log.Info("relays here", zap.Int("before", n.here), zap.Int("now", here))
	n.here = here
	n.balancer.SetActiveRelays(here)
}

func (n *Node) passOn(out []membership.Packet) {
	for _, o := range out {
		if o.To < len(n.cfg.Peers) {
			n.host.Datagram(n.cfg.Peers[o.To], o.Data)
		}
	}
}

// fromMember takes in a datagram of a relay in the list. It returns false for an older version's notice of a slow
// server, which is taken from who is there alone.
func (n *Node) fromMember(now time.Duration, from int, data []byte) bool {
	if membership.IsMessage(data) {
		n.run(now, func() { n.passOn(n.members.HandlePacket(n.now, from, data)) })
		return true
	}
	if n.members.IsActive(from) {
		return false
	}
	n.book.strangers.Add(1)
	n.log.Warn("notice of a relay that is not there", zap.Int("relay", from))
	return true
}

// memberLeave tells the others that this relay leaves, unless its next process goes on.
func (n *Node) memberLeave() {
	if n.members != nil && !n.replaced.Load() {
		n.passOn(n.members.Leave(n.now))
	}
}

func sameMembership(a, b *membership.Settings) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// MemberFigures are what staff are told of the other relays.
type MemberFigures struct {
	Here      int
	Health    int
	Strangers int64 // notices that were not taken
	Members   []membership.Member
	Counters  membership.Stats
}

// members publishes the view.
func (l *Ledger) members(m *membership.Memberlist, now time.Duration) {
	l.view.Store(&MemberFigures{Here: m.ActiveCount(), Health: m.Health(), Strangers: l.strangers.Load(), Members: m.Members(now), Counters: m.Stats()})
}
