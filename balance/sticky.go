package balance

import "time"

const (
	// maxOverrides bounds the sticky overrides held; the oldest are dropped.
	maxOverrides = 1 << 14

	// overrideLifetime is how long a sticky override is kept.
	overrideLifetime = 10 * time.Minute
)

// override is where a flow was sent instead of its primary.
type override struct {
	backend *backend
	at      time.Duration
}

// stickyTable remembers the flows placed elsewhere than on their primary, so that later packets and
// connections of a flow follow it. The paper uses a counting Bloom filter (section III-D).
type stickyTable struct {
	overrides map[uint64]override
	order     []uint64 // keys of overrides, oldest first
}

func newStickyTable() stickyTable { return stickyTable{overrides: map[uint64]override{}} }

// lookup returns the backend a flow was sent to, or nil.
func (t *stickyTable) lookup(flow uint64) *backend { return t.overrides[flow].backend }

// remember stores an override; beyond the bound the oldest ones are dropped.
func (t *stickyTable) remember(now time.Duration, flow uint64, to *backend) {
	if _, ok := t.overrides[flow]; !ok {
		t.order = append(t.order, flow)
	}
	t.overrides[flow] = override{to, now}
	for len(t.order) > maxOverrides {
		t.dropOldest()
	}
}

// restore appends an override of a former process, unless the flow has one.
func (t *stickyTable) restore(at time.Duration, flow uint64, to *backend) {
	if t.lookup(flow) != nil {
		return
	}
	t.order = append(t.order, flow)
	t.overrides[flow] = override{to, at}
}

// newest returns the newest overrides, oldest first.
func (t *stickyTable) newest(count int) []StickyOverride {
	var newest []StickyOverride
	for _, flow := range t.order[max(0, len(t.order)-count):] {
		entry := t.overrides[flow]
		newest = append(newest, StickyOverride{flow, entry.backend.ID, entry.at})
	}
	return newest
}

// expire drops overrides past their lifetime.
func (t *stickyTable) expire(now time.Duration) {
	for len(t.order) > 0 && now-t.overrides[t.order[0]].at > overrideLifetime {
		t.dropOldest()
	}
}

func (t *stickyTable) dropOldest() {
	delete(t.overrides, t.order[0])
	t.order = t.order[1:]
}
