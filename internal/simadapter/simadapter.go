// Package simadapter connects package balance to a simulator: it keeps the decision instances of one process
// and passes them the events of package simwire. It has no clock and no random source of its own: the time and
// the seeds come with the batches, so that identical input yields identical output.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/simwire"
)

// readBufferSize is the size of the input's buffer in bytes; most batches fit into it.
const readBufferSize = 1 << 20

// Main runs the adapter as a command of this name and returns its exit code: 0 at the end of its input and 1
// on the first frame that it cannot decode or answer, which it reports on errOut.
func Main(name string, in io.Reader, out, errOut io.Writer) int {
	if err := Run(in, out); err != nil {
		fmt.Fprintln(errOut, name+":", err)
		return 1
	}
	return 0
}

// Run reads batches and writes one reply for each, until the input ends between two batches.
func Run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*balance.Balancer{}, event: new(simwire.Event)}
	reader, frame := bufio.NewReaderSize(in, readBufferSize), new(bytes.Buffer)
	for {
		if err := simwire.ReadFrame(reader, frame); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := h.handleBatch(frame.Bytes()); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// host keeps the instances of one process. They share only the endpoint lists, which the protocol defines per
// process and which the instances only read.
type host struct {
	instances map[uint32]*balance.Balancer
	lists     [simwire.MaxListSlots][]balance.Backend
	reply     simwire.Reply
	event     *simwire.Event // reused for every record
}

// handleBatch handles the events of one frame and leaves their actions in the reply.
func (h *host) handleBatch(frame []byte) error {
	h.reply.Reset()
	decoder, now, err := simwire.NewDecoder(frame)
	if err != nil {
		return err
	}
	var instance uint32
	selected := false
	for {
		e := h.event
		if err := decoder.Next(e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		switch e.Code {
		case simwire.EventSelectInstance:
			instance, selected = e.Instance, true
			continue
		case simwire.EventEndpointList:
			h.lists[e.ListSlot] = e.Backends
			continue
		}
		if !selected {
			return fmt.Errorf("event code %d before an instance was selected, expected event code %d first", e.Code, simwire.EventSelectInstance)
		}
		if err := h.deliver(instance, now, e); err != nil {
			return err
		}
	}
}

// deliver passes one event to its instance. It reports a panic of the decision code to the simulator as a
// failure of that instance and discards the instance; the others continue.
func (h *host) deliver(instance uint32, now time.Duration, e *simwire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fatal(instance, fmt.Sprint(p))
			delete(h.instances, instance)
		}
	}()
	switch e.Code {
	case simwire.EventConfigure:
		return h.configure(instance, now, e)
	case simwire.EventExit:
		delete(h.instances, instance)
	default:
		if b := h.instances[instance]; b != nil {
			h.dispatch(b, now, e)
		}
	}
	return nil
}

// configure starts an instance, which replaces one of the same number.
func (h *host) configure(instance uint32, now time.Duration, e *simwire.Event) error {
	s, err := settings.Parse(e.Settings)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	actions := simwire.ActionWriter{Reply: &h.reply, Instance: instance}
	h.instances[instance] = balance.New(now, e.Seed, s.Settings, actions)
	return nil
}

// dispatch calls the balancer's method for an event.
func (h *host) dispatch(b *balance.Balancer, now time.Duration, e *simwire.Event) {
	switch e.Code {
	case simwire.EventEndpointsUpdated:
		var list []balance.Backend
		if e.UpdateKind != balance.UpdateFailed { // a failed update carries no list
			list = h.lists[e.ListSlot]
		}
		b.EndpointsUpdated(now, e.UpdateKind, list)
	case simwire.EventRequestArrived:
		b.RequestArrived(now, e.Request)
	case simwire.EventSessionAdopted:
		b.SessionAdopted(now, e.Request, e.Backend)
	case simwire.EventAttemptSucceeded:
		b.AttemptSucceeded(now, e.Result)
	case simwire.EventLoadReported:
		b.LoadReported(now, e.Result.ID, e.Signal, e.SignalValue)
	case simwire.EventAttemptEnded:
		b.AttemptEnded(now, e.Result)
	case simwire.EventClientClosed:
		b.ClientClosed(now, e.Result.ID)
	case simwire.EventTimerFired:
		b.TimerFired(now, e.TimerToken)
	case simwire.EventHealthCheckDone:
		b.HealthCheckDone(now, e.HealthCheck)
	case simwire.EventGossipReceived:
		b.GossipReceived(now, e.Peer, e.Payload)
	}
}
