package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/hotrestart"
)

// ExportLoad encodes the load that this process goes on tracking, for its successor while both run. It fails with
// hotrestart.ErrUnusable if the balancer has no snapshot.
func (c *Controller) ExportLoad() ([]byte, error) {
	snapshotter, ok := c.balancer.(decision.Snapshotter)
	if !ok {
		return nil, hotrestart.ErrUnusable
	}
	return hotrestart.EncodeLoad(snapshotter.Snapshot())
}

// ImportLoad takes in the load that the other process of this relay tracks; an empty text means that it has ended. Its
// errors meet hotrestart.ErrUnusable.
func (c *Controller) ImportLoad(now time.Duration, text []byte) error {
	load, err := hotrestart.DecodeLoad(text)
	if err != nil {
		return err
	}
	if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
		c.deliver(now, func() { snapshotter.UpdateOtherProcess(c.now, load) })
	}
	return nil
}

// ExportState encodes the state of this process for its successor.
func (c *Controller) ExportState(now time.Duration) ([]byte, error) {
	document := hotrestart.Document{
		Name:      c.config.Name,
		WrittenAt: now,
		Classes:   c.classNames,
		Drained:   c.drain.requested.Load(),
		Backends:  c.endpoints.records(),
	}
	if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
		document.Snapshot = snapshotter.Snapshot()
	}
	if c.membership.list != nil {
		document.Incarnation = c.membership.list.Incarnation()
	}
	return document.Encode()
}

// RestoreState takes over the state of the predecessor process. With an error, which meets hotrestart.ErrUnusable,
// nothing of it is taken over.
func (c *Controller) RestoreState(now time.Duration, text []byte) error {
	document, err := hotrestart.Decode(text, c.config.Name, now)
	if err != nil {
		return err
	}
	list := document.EndpointList()
	document.RemapClasses(c.classNames)
	c.membership.previousIncarnation = document.Incarnation
	c.deliver(now, func() {
		if len(list.Endpoints) > 0 && !c.endpoints.discoveryAnswered { // what discovery has told this process is newer
			c.updateEndpoints(list, balance.UpdateCached)
		}
		if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
			snapshotter.Restore(c.now, document.Snapshot)
			snapshotter.UpdateOtherProcess(c.now, document.Snapshot)
		}
	})
	if document.Drained {
		c.SetDrained(true)
		c.ApplyDrain(now)
	}
	c.log.Info("state restored from predecessor process", zap.Int("backends", len(list.Endpoints)), zap.Bool("drained", document.Drained))
	return nil
}

// SetDescriptors sets how many descriptors this relay has, where the configuration alone does not say.
func (c *Controller) SetDescriptors(descriptors int) { c.descriptors.total = descriptors }

// SetOtherProcessDescriptors sets how many descriptors the other process of this relay holds: the limits are shared by
// both.
func (c *Controller) SetOtherProcessDescriptors(now time.Duration, held int) {
	held = max(0, min(held, c.descriptors.total))
	if held == c.descriptors.otherProcess {
		return
	}
	c.descriptors.otherProcess = held
	c.deliver(now, func() {
		c.driver.SetLimits(c.descriptors.limits(c.config.MemoryMB, c.config.AdminListen != ""))
	})
}
