package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
)

// retransmission is what a lost segment costs a stream, reopening a lost opening.
const (
	retransmission = 200 * time.Millisecond
	reopening      = time.Second
)

// troubledLink is a link fault in force. While there is none no chance is drawn for it, so that runs without such
// faults go as they would without this code. A stream's bytes are delayed, never lost or reordered.
type troubledLink struct {
	link  *fault.Link
	until time.Duration
}

// met are the links in trouble between two machines, in one direction.
func (w *world) met(from, to *box) (out []troubledLink) {
	if len(w.links) == 0 || from.kind == "" || to.kind == "" {
		return nil
	}
	a, b := from.who, to.who
	if from.kind == fault.Clients { // a relay's own clients
		a = b
	}
	if to.kind == fault.Clients {
		b = a
	}
	for _, l := range w.links {
		if l.until > w.now && l.link.Affects(from.kind, a, to.kind, b) {
			out = append(out, l)
		}
	}
	return out
}

func (w *world) late(l *fault.Link) time.Duration {
	return l.Delay + w.between(0, l.Jitter)
}

// streamWay is how much longer than usual a piece of a stream takes. A cut holds it to its end.
func (w *world) streamWay(from, to *box) (late time.Duration) {
	for _, l := range w.met(from, to) {
		switch {
		case l.link.Partitioned || l.link.Buffered:
			late = max(late, l.until-w.now)
		case w.chance(l.link.LossRate):
			late += retransmission + w.late(l.link)
		default:
			late += w.late(l.link)
		}
	}
	return late
}

// opensWay says how much later a connection comes up, or that it doesn't.
func (w *world) opensWay(from, to *box) (late time.Duration, cut bool) {
	for _, d := range [2][2]*box{{from, to}, {to, from}} {
		for _, l := range w.met(d[0], d[1]) {
			if l.link.Partitioned || l.link.Buffered {
				return 0, true
			}
			if late += l.link.Delay; w.chance(l.link.LossRate) {
				late += reopening
			}
		}
	}
	return late, false
}

// datagramWay says how much later a datagram arrives, or that it is lost.
func (w *world) datagramWay(from, to *box) (late time.Duration, lost bool) {
	for _, l := range w.met(from, to) {
		switch {
		case l.link.Partitioned, w.chance(l.link.LossRate):
			return 0, true
		case l.link.Buffered:
			late = max(late, l.until-w.now)
		default:
			if late += w.late(l.link); w.chance(l.link.ReorderRate) {
				late += w.between(5*time.Millisecond, 50*time.Millisecond)
			}
		}
	}
	return late, false
}

// doubledWay says whether a datagram comes once more.
func (w *world) doubledWay(from, to *box) (twice bool) {
	for _, l := range w.met(from, to) {
		twice = w.chance(l.link.DuplicateRate) || twice
	}
	return twice
}

// agentWay is how much longer a call to discovery takes, there and back.
func (w *world) agentWay(relay int) (late time.Duration) {
	if len(w.links) == 0 {
		return 0
	}
	r, d := &box{kind: fault.Relays, who: relay}, &box{kind: fault.Discovery, who: relay}
	return w.streamWay(r, d) + w.streamWay(d, r)
}
