// Command drill is the adapter between the decision module and the bench's
// wire (package mesa): batches of events on standard input, one reply each on
// standard output. It ends with 0 at the end of its input and with 1 on the first
// frame that it cannot decode or answer.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/mesa"
	"aspenbarrow/internal/settings"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*balance.Balancer{}, event: new(mesa.Event)}
	r, buf := bufio.NewReaderSize(in, 1<<20), new(bytes.Buffer)
	for {
		if err := mesa.ReadFrame(r, buf); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := h.batch(buf.Bytes()); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// host keeps the instances of one process. They share nothing but the lists,
// which are the wire's and are only read.
type host struct {
	instances map[uint32]*balance.Balancer
	lists     [16][]balance.Backend
	reply     mesa.Reply
	event     *mesa.Event
}

func (h *host) batch(frame []byte) error {
	h.reply.Reset()
	d, now, err := mesa.NewDecoder(frame)
	if err != nil {
		return err
	}
	var at uint32
	var chosen bool
	for {
		e := h.event
		if err := d.Next(e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		switch e.Code {
		case mesa.About:
			at, chosen = e.Instance, true
			continue
		case mesa.Inventory:
			h.lists[e.Slot] = e.List
			continue
		}
		if !chosen {
			return fmt.Errorf("event code %d before any instance was named", e.Code)
		}
		if err := h.deliver(at, now, e); err != nil {
			return err
		}
	}
}

// deliver hands one event to its instance. A panic there is that instance's
// fault and is reported as such.
func (h *host) deliver(at uint32, now time.Duration, e *mesa.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Fatal(at, fmt.Sprint(p))
			delete(h.instances, at)
		}
	}()
	if e.Code == mesa.Configure {
		s, err := settings.Parse(e.Info)
		if err != nil {
			return fmt.Errorf("instance %d: %w", at, err)
		}
		h.instances[at] = balance.New(now, e.Seed, s.Settings, mesa.Writer{Reply: &h.reply, Instance: at})
		return nil
	}
	b := h.instances[at]
	if b == nil {
		return nil
	}
	switch e.Code {
	case mesa.Exit:
		delete(h.instances, at)
	case mesa.View:
		var list []balance.Backend
		if e.Kind != balance.UpdateFailed {
			list = h.lists[e.Slot]
		}
		b.EndpointsUpdated(now, e.Kind, list)
	case mesa.Call:
		b.RequestArrived(now, e.Request)
	case mesa.Resumed:
		b.SessionAdopted(now, e.Request, e.Backend)
	case mesa.Begun:
		b.AttemptSucceeded(now, e.Outcome)
	case mesa.Note:
		b.LoadReported(now, e.Outcome.ID, e.NoteKind, e.Value)
	case mesa.Settled:
		b.AttemptEnded(now, e.Outcome)
	case mesa.Dropped:
		b.ClientClosed(now, e.Outcome.ID)
	case mesa.Fired:
		b.TimerFired(now, e.Token)
	case mesa.Probed:
		b.HealthCheckDone(now, e.Report)
	case mesa.Datagram:
		b.GossipReceived(now, e.From, e.Data)
	}
	return nil
}
