// This file owns what one process of a relay hands to the next while both run: its
// form, its bounds and the checks of it. It must never be believed where it cannot be
// true, nor be needed: without it the next process starts as a fresh one.

package machine

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
)

const (
	bequestVersion = 1
	// MostBequest is the most that is handed over, in bytes.
	MostBequest  = 1 << 20
	staleBequest = 10 * time.Second
)

// bequest is the form of what is handed over.
type bequest struct {
	Version     int              `json:"version"`
	Name        string           `json:"name"`
	At          time.Duration    `json:"at"`
	Classes     []string         `json:"classes"`
	Drained     bool             `json:"drained"`
	Incarnation uint64           `json:"incarnation,omitempty"` // among the relays
	Members     []heirloom       `json:"members"`
	Memory      balance.Snapshot `json:"memory"`
}

// heirloom is one backend as the list had it last.
type heirloom struct {
	Name string          `json:"name"`
	Addr string          `json:"addr"`
	Line balance.Backend `json:"line"`
}

var errBequest = errors.New("what the old process handed over cannot be used")

// remembers is a Decider whose memory outlives its process.
type remembers interface {
	Snapshot() balance.Snapshot
	Restore(now time.Duration, m balance.Snapshot)
	UpdateOtherProcess(now time.Duration, m balance.Snapshot)
}

var _ remembers = (*balance.Balancer)(nil)

// Seen is what this process goes on seeing, for the next one while both run.
func (n *Node) Seen() ([]byte, error) {
	m, ok := n.balancer.(remembers)
	if !ok {
		return nil, errBequest
	}
	seen := m.Snapshot()
	seen.StickyOverrides, seen.ClassLoads, seen.ClassLoadSamples, seen.KindLateness = nil, nil, nil, nil
	return json.Marshal(seen)
}

// Beside takes that in; none: the other process has ended.
func (n *Node) Beside(now time.Duration, text []byte) error {
	var m balance.Snapshot
	if len(text) > 0 {
		if err := json.Unmarshal(text, &m); err != nil {
			return fmt.Errorf("%w: %w", errBequest, err)
		}
	}
	if b, ok := n.balancer.(remembers); ok {
		n.run(now, func() { b.UpdateOtherProcess(n.now, m) })
	}
	return nil
}

// Bequeath is what the next process is to know.
func (n *Node) Bequeath(now time.Duration) ([]byte, error) {
	b := bequest{Version: bequestVersion, Name: n.cfg.Name, At: now, Classes: n.names, Drained: n.drained.Load()}
	if m, ok := n.balancer.(remembers); ok {
		b.Memory = m.Snapshot()
	}
	if n.members != nil {
		b.Incarnation = n.members.Incarnation()
	}
	for _, k := range n.named {
		if k.line.State != balance.StateRemoved {
			b.Members = append(b.Members, heirloom{k.Name, k.Addr(), k.line})
		}
	}
	text, err := json.Marshal(b)
	if err == nil && len(text) > MostBequest {
		err = fmt.Errorf("%d bytes, over %d", len(text), MostBequest)
	}
	return text, err
}

// renumber has the loads of classes go by their numbers in this process.
func (b *bequest) renumber(names []string) {
	m := &b.Memory
	if len(m.ClassLoads) != len(b.Classes)+1 || len(m.ClassLoadSamples) != len(m.ClassLoads) {
		m.ClassLoads, m.ClassLoadSamples = nil, nil
		return
	}
	usual, seen := make([]float64, len(names)+1), make([]float64, len(names)+1)
	for i, name := range names {
		for j, old := range b.Classes { // of several by one name the last is the newest
			if old == name && m.ClassLoadSamples[j] > 0 {
				usual[i], seen[i] = m.ClassLoads[j], m.ClassLoadSamples[j]
			}
		}
	}
	usual[len(names)], seen[len(names)] = m.ClassLoads[len(b.Classes)], m.ClassLoadSamples[len(b.Classes)]
	m.ClassLoads, m.ClassLoadSamples = usual, seen
}

// Inherit takes over what the former process handed on; with an error nothing of it.
func (n *Node) Inherit(now time.Duration, text []byte) error {
	var b bequest
	if err := json.Unmarshal(text, &b); err != nil {
		return fmt.Errorf("%w: %w", errBequest, err)
	}
	switch {
	case b.Version != bequestVersion:
		return fmt.Errorf("%w: version %d, this process knows %d", errBequest, b.Version, bequestVersion)
	case b.Name != n.cfg.Name:
		return fmt.Errorf("%w: it is relay %q's", errBequest, b.Name)
	case now-b.At > staleBequest || b.At-now > staleBequest:
		return fmt.Errorf("%w: it is %v old", errBequest, now-b.At)
	}
	l := Members{full: true}
	for _, m := range b.Members {
		if m.Name == "" || m.Addr == "" || m.Line.ID != backendID(m.Name) {
			return fmt.Errorf("%w: backend %q at %q", errBequest, m.Name, m.Addr)
		}
		l.entries = append(l.entries, member{m.Name, m.Addr, m.Line})
	}
	b.renumber(n.names)
	n.handed = b.Incarnation
	n.run(now, func() {
		if len(l.entries) > 0 && !n.told { // what discovery has said to this process is newer
			n.listed(l, balance.UpdateCached)
		}
		if r, ok := n.balancer.(remembers); ok {
			r.Restore(n.now, b.Memory)
			r.UpdateOtherProcess(n.now, b.Memory)
		}
	})
	if b.Drained {
		n.SetDrained(true)
		n.Drain(now)
	}
	n.log.Info("taken over from the old process", zap.Int("backends", len(l.entries)), zap.Bool("drained", b.Drained))
	return nil
}
