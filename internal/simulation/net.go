package simulation

import (
	"time"

	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/session"
)

// box is one machine with one process on it.
type box struct {
	w      *world
	name   string
	addr   string
	up     bool // the process runs and listens
	cut    bool // the machine says nothing and hears nothing
	life   int  // counts the processes
	accept func(*end)
	ends   []*end // open
	kind   fault.NodeKind
	who    int
}

// end is one side of a connection, as TCP has them: bytes arrive in order, late and
// split anywhere; a side may end orderly, break off, refuse, say nothing, or stop
// taking bytes. Nothing is delivered out of order, twice, or past an end.
type end struct {
	w       *world
	id      int
	box     *box
	life    int
	peer    *end
	in      []byte          // arrived, not taken yet
	base    []byte          // where in begins, to be used again
	got     session.EndKind // how the other side ended, once that has arrived
	wake    func()          // called when something has arrived
	tap     tap             // who watches; nil: nobody
	arrive  time.Duration
	unread  int // bytes of ours that the other side has not taken
	waiting []*pendingWrite
	fin     bool
	dead    bool
	dirty   bool // a reset has been sent back already
}

type pendingWrite struct {
	b    []byte
	done func(ok bool)
	off  bool
}

// tap sees what passes on the relay's side of a connection, in bytes.
type tap interface {
	Received(b []byte)               // from the other side
	ReceivedEnd(how session.EndKind) //
	Written(b []byte)                // by the relay
	WrittenEnd(how session.EndKind)  //
	SetBlocked(on bool)              // the other side takes nothing
}

func (w *world) box(name, addr string) *box { return &box{w: w, name: name, addr: addr} }

// of says which party the machine is.
func (b *box) of(kind fault.NodeKind, who int) *box {
	b.kind, b.who = kind, who
	return b
}

// delay is how long a segment is under way.
func (w *world) delay() time.Duration {
	d := w.between(80*time.Microsecond, 700*time.Microsecond)
	if w.net.slow != 1 {
		d = time.Duration(float64(d) * w.net.slow)
	}
	return d
}

// start brings a new process up.
func (b *box) start() {
	b.up, b.cut = true, false
	b.life++
}

// kill ends the process; its system breaks all connections off.
func (b *box) kill() {
	b.up = false
	b.life++
	for len(b.ends) > 0 {
		b.ends[len(b.ends)-1].reset()
	}
}

// vanish takes the machine off the network: no word to anybody.
func (b *box) vanish() {
	b.up, b.cut = false, true
	b.life++
	for _, e := range b.ends {
		e.dead = true
	}
	b.ends = nil
}

// dial opens a connection. The callback has nil if it was refused or did not come
// up in time; it is not called any more once the dialling process has ended.
func (b *box) dial(addr *box, within time.Duration, done func(e *end)) {
	w, life, over := b.w, b.life, false
	finish := func(e *end) {
		if over || b.life != life {
			if e != nil {
				e.reset()
			}
			return
		}
		over = true
		done(e)
	}
	w.in(within, func() {
		if !over {
			finish(nil)
		}
	})
	late, cut := w.opensWay(b, addr)
	if cut || w.chance(w.net.lostSYN) {
		return
	}
	w.in(late+w.delay(), func() {
		switch {
		case addr.cut:
		case !addr.up:
			w.in(w.delay(), func() { finish(nil) })
		default:
			w.ends += 2
			near := &end{w: w, id: w.ends - 1, box: b, life: life}
			far := &end{w: w, id: w.ends, box: addr, life: addr.life, peer: near}
			near.peer = far
			if b.life != life { // whoever dialled is gone
				near.dead = true
			} else {
				b.ends = append(b.ends, near)
			}
			addr.ends = append(addr.ends, far)
			addr.accept(far)
			w.in(w.delay(), func() { finish(near) })
		}
	})
}

// drop forgets an end among those that are open.
func (e *end) drop() {
	for i, o := range e.box.ends {
		if o == e {
			last := len(e.box.ends) - 1
			e.box.ends[i] = e.box.ends[last]
			e.box.ends = e.box.ends[:last]
			return
		}
	}
}

// send has something arrive at the other side, after what was sent before.
func (e *end) send(arrives func(to *end)) {
	w, to := e.w, e.peer
	e.arrive = max(e.arrive, w.now+w.delay()+w.streamWay(e.box, to.box))
	w.at(e.arrive, func() {
		if to.box.cut || e.box.cut {
			return
		}
		arrives(to)
	})
}

// write sends bytes. While the other side takes none the call waits; done hears
// of it (at once, mostly). The pending write may be called off.
func (e *end) write(b []byte, done func(ok bool)) *pendingWrite {
	if e.dead || e.fin || e.got == session.EndReset {
		done(false)
		return nil
	}
	if len(e.waiting) > 0 || e.unread > 0 && e.unread+len(b) > e.w.window {
		p := &pendingWrite{b: append([]byte(nil), b...), done: done}
		e.waiting = append(e.waiting, p)
		if e.tap != nil {
			e.tap.SetBlocked(true)
		}
		return p
	}
	e.put(b)
	done(true)
	return nil
}

// put sends bytes, split anywhere.
func (e *end) put(b []byte) {
	if e.tap != nil {
		e.tap.Written(b)
	}
	if e.w.trace != nil {
		e.w.note("%s %d> %q", e.box.name, e.id, b)
	}
	e.unread += len(b)
	b = append([]byte(nil), b...)
	for len(b) > 0 {
		n := len(b)
		if e.w.rng.IntN(8) == 0 {
			n = 1 + e.w.rng.IntN(n)
		}
		part := b[:n]
		b = b[n:]
		e.send(func(to *end) { to.arrived(part) })
	}
}

// arrived takes in a segment.
func (e *end) arrived(b []byte) {
	if e.dead || e.box.life != e.life || e.w.chance(e.w.net.resets) {
		e.refuse()
		return
	}
	if e.got == session.EndReset {
		return // what was under way when the connection broke is lost
	}
	if e.tap != nil {
		e.tap.Received(b)
	}
	if len(e.in) == 0 {
		e.in = e.base[:0]
	}
	e.in = append(e.in, b...)
	if len(e.in) == len(b) {
		e.base = e.in
	}
	e.woken()
}

// refuse answers what nobody takes any more: the other side's connection breaks.
func (e *end) refuse() {
	if e.dirty || !e.box.up {
		return
	}
	e.dirty = true
	e.send(func(to *end) { to.gotEnd(session.EndReset) })
	if !e.dead {
		e.gotEnd(session.EndReset)
	}
}

func (e *end) woken() {
	if e.wake != nil && !e.dead {
		e.wake()
	}
}

// take is done with the first bytes of what has arrived.
func (e *end) take(n int) {
	if n = min(n, len(e.in)); n == 0 { // a reset takes what had not been read
		return
	}
	e.in = e.in[n:]
	if len(e.in) == 0 {
		e.in = nil
	}
	p := e.peer
	p.unread -= n
	for len(p.waiting) > 0 && !p.dead {
		next := p.waiting[0]
		if next.off {
			p.waiting = p.waiting[1:]
			continue
		}
		if p.unread > 0 && p.unread+len(next.b) > p.w.window {
			return
		}
		p.waiting = p.waiting[1:]
		if len(p.waiting) == 0 && p.tap != nil {
			p.tap.SetBlocked(false)
		}
		p.put(next.b)
		next.done(true)
	}
}

// gotEnd hears that the other side has ended.
func (e *end) gotEnd(how session.EndKind) {
	if e.got == session.EndReset || e.got != session.NoEnd && how == session.EndFIN {
		return
	}
	e.got = how
	if e.w.trace != nil {
		e.w.note("%s %d< end %d", e.box.name, e.id, how)
	}
	if e.tap != nil {
		e.tap.ReceivedEnd(how)
	}
	if how == session.EndReset {
		e.in = nil
		e.failWrites()
	}
	e.woken()
}

func (e *end) failWrites() {
	ws := e.waiting
	e.waiting = nil
	for _, p := range ws {
		if !p.off {
			p.done(false)
		}
	}
}

// closeWrite ends our side after all that was written.
func (e *end) closeWrite() {
	if e.dead || e.fin || e.got == session.EndReset {
		return
	}
	e.fin = true
	e.ended(session.EndFIN)
	e.send(func(to *end) { to.gotEnd(session.EndFIN) })
}

func (e *end) ended(how session.EndKind) {
	if e.w.trace != nil {
		e.w.note("%s %d> end %d", e.box.name, e.id, how)
	}
	if e.tap != nil {
		e.tap.WrittenEnd(how)
	}
}

// reset breaks the connection off: what has not arrived is lost.
func (e *end) reset() {
	if e.dead {
		return
	}
	e.dead = true
	e.drop()
	e.ended(session.EndReset)
	e.in, e.wake = nil, nil
	e.waiting = nil
	e.send(func(to *end) {
		if !to.dead {
			to.gotEnd(session.EndReset)
		}
	})
}

// close is done with the connection; over unread bytes it is a reset.
func (e *end) close() {
	if e.dead {
		return
	}
	if len(e.in) > 0 {
		e.reset()
		return
	}
	e.closeWrite()
	e.dead = true
	e.drop()
	if e.tap != nil {
		e.tap.WrittenEnd(session.EndTimeout) // no reader any more
	}
	e.wake, e.waiting = nil, nil
}
