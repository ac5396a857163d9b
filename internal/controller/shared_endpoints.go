package controller

import (
	"maps"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
)

// endpointExport holds what changes between the export of the state and the start of the messages to the successor.
type endpointExport struct {
	pending map[balance.BackendID]discovery.ListVersion // nil: nothing is kept
}

// SuccessorConnected sends the successor what has changed since ExportState.
func (c *Controller) SuccessorConnected(now time.Duration) {
	c.deliver(now, func() {
		pending := c.endpointExport.pending
		c.endpointExport.pending = nil
		var records []hotrestart.BackendRecord
		for _, id := range slices.Sorted(maps.Keys(pending)) {
			records = append(records, record(c.endpoints.byID[id], pending[id]))
		}
		c.sendEndpoints(hotrestart.Successor, records)
	})
}

// sendEndpoints sends entries to another process of this relay, if there is one.
func (c *Controller) sendEndpoints(to hotrestart.Process, records []hotrestart.BackendRecord) {
	if to == hotrestart.Successor && c.endpointExport.pending != nil {
		for _, r := range records {
			c.endpointExport.pending[r.Backend.ID] = r.Told
		}
		return
	}
	if len(records) > 0 {
		c.driver.SendEndpointMessage(to, hotrestart.EndpointMessage{Backends: records})
	}
}

// HandleEndpointMessage applies what discovery has told another process of this relay and passes what has changed on to the
// third, if there is one. The sender is told of entries about which this process knows better: both may have been told
// different things at the same time.
func (c *Controller) HandleEndpointMessage(now time.Duration, from hotrestart.Process, message hotrestart.EndpointMessage) {
	c.deliver(now, func() {
		accepted, corrections := c.compareEndpoints(message.Backends)
		result := c.endpoints.update(c.now, updatesOf(accepted), false, discovery.ListVersion{}, c.log)
		c.sendEndpoints(from, corrections)
		if len(result.changed) == 0 {
			return
		}
		// All entries, not changes: those would be taken for the answer to this process's own request for the list.
		c.balancer.EndpointsUpdated(c.now, balance.UpdateCached, c.endpoints.listed())
		c.endpointsApplied()
		c.sendEndpoints(otherThan(from), result.changed)
	})
}

// compareEndpoints divides the entries of another process into those that replace what is known here and those that are
// older: for these it returns what is known.
func (c *Controller) compareEndpoints(records []hotrestart.BackendRecord) (accepted, corrections []hotrestart.BackendRecord) {
	for _, received := range records {
		c.endpoints.versions.received(received.Told)
		if c.endpoints.accepts(received.Backend, received.Told, true) {
			accepted = append(accepted, received)
			continue
		}
		known := c.endpoints.versions.of(received.Backend.ID)
		if !known.Supersedes(received.Told) {
			continue
		}
		if current := c.currentRecord(received, known); current.Backend != received.Backend {
			corrections = append(corrections, current)
		}
	}
	return accepted, corrections
}

// currentRecord returns what is known of the backend of a received entry: one that no list has contained is removed.
func (c *Controller) currentRecord(received hotrestart.BackendRecord, known discovery.ListVersion) hotrestart.BackendRecord {
	if b := c.endpoints.byID[received.Backend.ID]; b != nil {
		return record(b, known)
	}
	received.Backend.State = balance.StateRemoved
	received.Told, received.ClosedAt = known, c.now
	return received
}

// otherThan returns the other one of the two processes that a process may have beside it.
func otherThan(process hotrestart.Process) hotrestart.Process {
	if process == hotrestart.Predecessor {
		return hotrestart.Successor
	}
	return hotrestart.Predecessor
}

// resumeOwnEndpoints fetches the whole list after another process has exited whose discovery agent was newer than that of
// this process.
func (c *Controller) resumeOwnEndpoints() {
	if c.endpoints.versions.otherProcessExited() {
		c.driver.RequestEndpoints(false)
	}
}
