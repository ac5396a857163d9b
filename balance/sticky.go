package balance

import "time"

const (
	// maxOverrides bounds the number of sticky overrides; the oldest are dropped.
	maxOverrides = 1 << 14

	// overrideLifetime is how long a sticky override is kept.
	overrideLifetime = 10 * time.Minute
)

// override records the backend that a flow was sent to instead of its primary.
type override struct {
	backend  *backend
	storedAt time.Duration
}

// stickyTable records the flows that were not placed on their primary, so that later packets and connections
// of a flow follow it. The paper uses a counting Bloom filter (section III-D).
type stickyTable struct {
	overrides map[uint64]override
	order     []uint64 // keys of overrides, oldest first
}

func newStickyTable() stickyTable { return stickyTable{overrides: map[uint64]override{}} }

// lookup returns the backend that a flow was sent to instead of its primary, or nil.
func (t *stickyTable) lookup(flow uint64) *backend { return t.overrides[flow].backend }

// store stores an override, and drops the oldest ones beyond maxOverrides.
func (t *stickyTable) store(now time.Duration, flow uint64, to *backend) {
	if _, ok := t.overrides[flow]; !ok {
		t.order = append(t.order, flow)
	}
	t.overrides[flow] = override{to, now}
	for len(t.order) > maxOverrides {
		t.dropOldest()
	}
}

// restore appends an override of the predecessor, unless the flow has one already.
func (t *stickyTable) restore(at time.Duration, flow uint64, to *backend) {
	if t.lookup(flow) != nil {
		return
	}
	t.order = append(t.order, flow)
	t.overrides[flow] = override{to, at}
}

// newest returns up to count of the newest overrides, oldest first.
func (t *stickyTable) newest(count int) []StickyOverride {
	var newest []StickyOverride
	for _, flow := range t.order[max(0, len(t.order)-count):] {
		entry := t.overrides[flow]
		newest = append(newest, StickyOverride{flow, entry.backend.ID, entry.storedAt})
	}
	return newest
}

// expire drops the overrides that are older than overrideLifetime.
func (t *stickyTable) expire(now time.Duration) {
	for len(t.order) > 0 && now-t.overrides[t.order[0]].storedAt > overrideLifetime {
		t.dropOldest()
	}
}

func (t *stickyTable) dropOldest() {
	delete(t.overrides, t.order[0])
	t.order = t.order[1:]
}
