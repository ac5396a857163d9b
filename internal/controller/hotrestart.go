package controller

import (
	"time"

	"go.uber.org/zap"

	"aspenbarrow/balance"
	"aspenbarrow/internal/decision"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
)

// ExportLoad encodes the tracked load of this process for its successor, while both run. It fails with
// hotrestart.ErrUnusable if the Decider is not a decision.Snapshotter.
func (c *Controller) ExportLoad() ([]byte, error) {
	snapshotter, ok := c.balancer.(decision.Snapshotter)
	if !ok {
		return nil, hotrestart.ErrUnusable
	}
	return hotrestart.EncodeLoad(snapshotter.Snapshot())
}

// ImportLoad passes the tracked load of the predecessor process to the balancer; an empty text means that the predecessor
// has exited. All its errors match hotrestart.ErrUnusable.
func (c *Controller) ImportLoad(now time.Duration, text []byte) error {
	load, err := hotrestart.DecodeLoad(text)
	if err != nil {
		return err
	}
	if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
		c.deliver(now, func() { snapshotter.UpdatePredecessor(c.now, load) })
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
		SharesIDs: true,

		ListVersion: c.endpoints.versions.newest,
	}
	c.endpointExport.pending = map[balance.BackendID]discovery.ListVersion{}
	if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
		document.Snapshot = snapshotter.Snapshot()
	}
	if c.membership.list != nil {
		document.Incarnation = c.membership.list.Incarnation()
	}
	return document.Encode()
}

// RestoreState restores the state of the predecessor process. On an error, which matches hotrestart.ErrUnusable, nothing
// of it is restored.
func (c *Controller) RestoreState(now time.Duration, text []byte) error {
	document, err := hotrestart.Decode(text, c.config.Name, now)
	if err != nil {
		return err
	}
	document.RemapClasses(c.classNames)
	c.membership.previousIncarnation = document.Incarnation
	c.requestIDs.predecessorShares = document.SharesIDs
	c.deliver(now, func() {
		c.endpoints.versions.restored(document.ListVersion)
		if len(document.Backends) > 0 {
			c.applyEndpoints(updatesOf(document.Backends), balance.UpdateCached, discovery.ListVersion{})
		}
		if snapshotter, ok := c.balancer.(decision.Snapshotter); ok {
			snapshotter.Restore(c.now, document.Snapshot)
			snapshotter.UpdatePredecessor(c.now, document.Snapshot)
		}
	})
	if document.Drained {
		c.SetDrained(true)
		c.ApplyDrain(now)
	}
	c.log.Info("state restored from predecessor process", zap.Int("backends", len(document.Backends)), zap.Bool("drained", document.Drained))
	return nil
}

// SetDescriptors sets the number of descriptors of this relay, where it does not follow from the configuration alone.
func (c *Controller) SetDescriptors(descriptors int) { c.descriptors.total = descriptors }

// SetOtherProcessDescriptors sets how many descriptors the other process of this relay holds: the limits apply to both
// processes together.
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
