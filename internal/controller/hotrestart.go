package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/hotrestart"
)

// ExportLoad is the load that this process goes on seeing, for the next one while both run.
func (n *Controller) ExportLoad() ([]byte, error) {
	m, ok := n.balancer.(decision.Snapshotter)
	if !ok {
		return nil, hotrestart.ErrUnusable
	}
	return hotrestart.EncodeLoad(m.Snapshot())
}

// ImportLoad takes in what the other process of this relay sees; an empty text: it has ended.
func (n *Controller) ImportLoad(now time.Duration, text []byte) error {
	m, err := hotrestart.DecodeLoad(text)
	if err != nil {
		return err
	}
	if b, ok := n.balancer.(decision.Snapshotter); ok {
		n.deliver(now, func() { b.UpdateOtherProcess(n.now, m) })
	}
	return nil
}

// ExportState is the document for the next process.
func (n *Controller) ExportState(now time.Duration) ([]byte, error) {
	d := hotrestart.Document{Name: n.cfg.Name, WrittenAt: now, Classes: n.classNames, Drained: n.drained.Load()}
	if m, ok := n.balancer.(decision.Snapshotter); ok {
		d.Snapshot = m.Snapshot()
	}
	if n.membership != nil {
		d.Incarnation = n.membership.Incarnation()
	}
	for _, b := range n.backendOrder {
		if b.Listed.State != balance.StateRemoved {
			d.Backends = append(d.Backends, hotrestart.BackendRecord{Name: b.Name, Address: b.Address(), Backend: b.Listed})
		}
	}
	return d.Encode()
}

// RestoreState takes over the former process's document; with an error nothing of it.
func (n *Controller) RestoreState(now time.Duration, text []byte) error {
	d, err := hotrestart.Decode(text, n.cfg.Name, now)
	if err != nil {
		return err
	}
	l := d.EndpointList()
	d.RemapClasses(n.classNames)
	n.inheritedIncarnation = d.Incarnation
	n.deliver(now, func() {
		if len(l.Endpoints) > 0 && !n.discoveryAnswered { // what discovery has said to this process is newer
			n.updateEndpoints(l, balance.UpdateCached)
		}
		if r, ok := n.balancer.(decision.Snapshotter); ok {
			r.Restore(n.now, d.Snapshot)
			r.UpdateOtherProcess(n.now, d.Snapshot)
		}
	})
	if d.Drained {
		n.SetDrained(true)
		n.ApplyDrain(now)
	}
	n.log.Info("taken over from the old process", zap.Int("backends", len(l.Endpoints)), zap.Bool("drained", d.Drained))
	return nil
}
