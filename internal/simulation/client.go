package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/internal/session"
)

// front deals connections out among the relays that it takes for good ones. It goes on
// sending to a relay that has died until it notices.
type front struct {
	run  *run
	good []bool
}

// look asks a relay with PING until it answers, and from then on whether it still does.
func (fr *front) look(r *relay) {
	w := fr.run.w
	r = fr.run.relays[r.number] // the process that takes who comes
	again := func(after time.Duration) { w.in(after, func() { fr.look(r) }) }
	if fr.good[r.number] {
		if !r.up || r.leaving {
			notice := w.between(200*time.Millisecond, 2600*time.Millisecond)
			if r.up { // it is leaving, which is known sooner
				notice = w.between(200*time.Millisecond, 400*time.Millisecond)
			}
			w.in(notice, func() { fr.good[r.number] = false })
			again(3 * time.Second)
			return
		}
		if r.node.Drained() {
			w.in(w.between(0, 200*time.Millisecond), func() { fr.good[r.number] = false })
		}
		again(200 * time.Millisecond)
		return
	}
	if r.leaving { // its restart is planned: nobody asks it meanwhile
		again(100 * time.Millisecond)
		return
	}
	fr.run.outside.dial(r.box, time.Second, func(e *end) {
		if e == nil {
			again(500 * time.Millisecond)
			return
		}
		over := false
		e.wake = func() {
			if over || !bytes.Contains(e.in, []byte("\n")) && e.got == session.NoEnd {
				return
			}
			over = true
			fr.good[r.number] = bytes.HasPrefix(e.in, []byte("PONG")) && !r.leaving
			e.take(len(e.in))
			e.close()
			again(300 * time.Millisecond)
		}
		w.in(time.Second, func() {
			if !over {
				over = true
				e.close()
				again(300 * time.Millisecond)
			}
		})
		e.write([]byte("PING\r\n"), func(bool) {})
	})
}

// yes holds a relay that takes clients again to saying so within two seconds.
func (run *run) yes(r *relay) {
	r = run.relays[r.number]
	life := r.life
	run.w.in(drainedNoMore, func() {
		if r.life != life || !r.up || r.leaving || r.node.Drained() || run.closing {
			return
		}
		run.outside.dial(r.box, time.Second, func(e *end) {
			if e == nil {
				return
			}
			e.wake = func() {
				if bytes.Contains(e.in, []byte("\n")) {
					if !bytes.HasPrefix(e.in, []byte("PONG")) && r.node.Ready() {
						run.fail("drained", "%s says %q though it is drained no more", r.name, e.in)
					}
					e.close()
				}
			}
			e.write([]byte("PING\r\n"), func(bool) {})
			run.w.in(3*time.Second, e.close)
		})
	})
}

// drainedNoMore is how long after the second call a relay has to say yes.
const drainedNoMore = 2 * time.Second

// pick is a relay for a new connection.
func (fr *front) pick() *relay {
	good := make([]*relay, 0, len(fr.good))
	for _, r := range fr.run.relays {
		if fr.good[r.number] {
			good = append(good, r)
		}
	}
	if len(good) == 0 {
		return nil
	}
	if f := fr.run.opt.Installation; f != nil && f.HotRelayShare > 0 && fr.good[0] && fr.run.w.rng.Float64() < f.HotRelayShare {
		return fr.run.relays[0]
	}
	return good[fr.run.w.rng.IntN(len(good))]
}

type client struct {
	run     *run
	number  int
	key     uint64
	group   uint64
	class   int
	back    bool // it was moved, or its connection broke
	tries   int
	stays   time.Duration
	deaf    bool // it stops reading for a while, once
	bulky   bool // it sends much at once
	comes   int  // counts connections, so that what belongs to an older one is dropped
	stopped bool
	e       *end
	id      string
	up      bool
	lines   int
	heardAt time.Duration
	saidAt  time.Duration // when the oldest line without an answer went out; 0: none
	late    bool          // the last answer took longer than is wanted
	wants   bool          // a connection, now: from when it meant to have one, not from when it got to ask
}

// lineAim is how soon a line is to come back.
const lineAim = 60 * time.Millisecond

// inTime says whether its lines come back as they should.
func (c *client) inTime() bool {
	return !c.late && (c.saidAt == 0 || c.run.w.now-c.saidAt <= lineAim)
}

// come opens a connection, after a while.
func (c *client) come(after time.Duration) {
	c.comes++
	comes := c.comes
	c.run.w.in(after, func() {
		if c.comes == comes && !c.run.closing && !c.stopped {
			c.wants = true
			c.connect()
		}
	})
}

func (c *client) connect() {
	run := c.run
	r := run.front.pick()
	if r == nil {
		c.come(500 * time.Millisecond)
		return
	}
	comes := c.comes
	run.outside.dial(r.box, 2*time.Second, func(e *end) {
		switch {
		case e == nil:
			c.come(run.w.between(50*time.Millisecond, 400*time.Millisecond))
			return
		case c.comes != comes || run.closing:
			e.close()
			return
		}
		c.e, c.up, c.lines, c.saidAt, c.late = e, false, 0, 0, false
		run.ids++
		c.id = fmt.Sprintf("%016x", uint64(run.ids)*0x9e3779b97f4a7c15)
		patience := run.classes[c.class].giveUp
		line := fmt.Sprintf("OPEN %s %016x c=%s,d=%d", c.id, c.key, run.classes[c.class].name, patience.Milliseconds())
		if c.group != 0 {
			line += fmt.Sprintf(",g=%016x", c.group)
		}
		if c.tries > 0 {
			line += ",r=1"
		}
		if c.back {
			line += ",again=1"
		}
		e.wake = c.heard
		e.write([]byte(line+"\r\n"), func(bool) {})
		if run.w.rng.IntN(40) == 0 { // impatient
			run.w.in(run.w.between(0, 300*time.Millisecond), func() { c.breakOff(e) })
		}
		run.w.in(patience+500*time.Millisecond, func() {
			if c.e == e && !c.up {
				run.count("client gave up")
				c.lost(e)
			}
		})
	})
}

// breakOff ends a connection from this side, now and then without any manners.
func (c *client) breakOff(e *end) {
	if c.e != e {
		return
	}
	if c.run.w.rng.IntN(4) == 0 {
		e.reset()
	} else {
		e.closeWrite()
		c.run.w.in(500*time.Millisecond, e.close)
	}
	c.e = nil
	c.tries, c.back, c.wants = 0, false, false
	c.come(c.run.w.between(200*time.Millisecond, 4*time.Second))
}

// lost comes back after a connection that did not hold.
func (c *client) lost(e *end) {
	e.close()
	c.e = nil
	c.tries++
	wait := c.run.w.between(30*time.Millisecond, 300*time.Millisecond)
	if c.tries > 4 {
		c.tries = 0
		wait = c.run.w.between(time.Second, 4*time.Second)
	}
	c.come(wait)
}

func (c *client) heard() {
	e := c.e
	if e == nil || c.deaf {
		return
	}
	for {
		i := bytes.IndexByte(e.in, '\n')
		if i < 0 {
			break
		}
		line := string(bytes.TrimRight(e.in[:i], "\r\n"))
		e.take(i + 1)
		c.heardAt = c.run.w.now
		if c.up && strings.HasPrefix(line, "R ") {
			c.late = c.saidAt != 0 && c.run.w.now-c.saidAt > lineAim
			c.saidAt = 0
		}
		c.line(e, line)
		if c.e != e {
			return
		}
	}
	if e.got != session.NoEnd {
		if c.up {
			c.run.count("connection lost")
			c.back = true
		}
		c.lost(e)
	}
}

func (c *client) line(e *end, line string) {
	run := c.run
	word, rest, _ := strings.Cut(line, " ")
	switch {
	case !c.up && word == "UP":
		run.count("served")
		run.served[c.class]++
		c.up, c.tries, c.back = true, 0, false
		run.w.in(c.stays, func() { c.breakOff(e) })
		c.talk(e)
	case !c.up && word == "BYE":
		run.count("served to its end")
		run.served[c.class]++
		e.close()
		c.e, c.wants = nil, false
		c.come(run.w.between(200*time.Millisecond, 2*time.Second))
	case !c.up && word == "BUSY":
		run.count("refused")
		wait := run.w.between(100*time.Millisecond, 600*time.Millisecond)
		if ms, err := strconv.Atoi(rest); err == nil {
			wait = time.Duration(ms) * time.Millisecond
		}
		e.close()
		c.e = nil
		c.tries++
		c.come(wait)
	case !c.up:
		run.count("failed")
		c.lost(e)
	case word == "MOVE":
		run.count("moved")
		c.back = true
		e.close()
		c.e = nil
		c.come(run.w.between(20*time.Millisecond, 400*time.Millisecond))
	}
}

// talk sends a line every two seconds.
func (c *client) talk(e *end) {
	if c.e != e || e.dead {
		return
	}
	if !c.deaf && c.run.w.now-c.heardAt > 9*time.Second { // its relay has vanished
		c.run.count("connection silent")
		c.back = true
		c.lost(e)
		return
	}
	if c.saidAt == 0 {
		c.saidAt = c.run.w.now
	}
	c.lines++
	n := 1
	if c.bulky && c.lines == 2 {
		n = 40
	}
	for i := range n {
		e.write(fmt.Appendf(nil, "line %s %d.%d\r\n", c.id, c.lines, i), func(bool) {})
	}
	if c.run.w.rng.IntN(200) == 0 {
		c.deaf = true
		c.run.count("client stopped reading")
		c.run.w.in(c.run.w.between(time.Second, 5*time.Second), func() {
			c.deaf = false
			c.heard()
		})
	}
	c.run.w.in(2*time.Second, func() { c.talk(e) })
}

// bad plays one client that does not keep to the protocol.
func (run *run) bad(kind int) {
	r := run.front.pick()
	if r == nil || run.closing {
		return
	}
	w := run.w
	run.count("bad client")
	run.outside.dial(r.box, 2*time.Second, func(e *end) {
		if e == nil {
			return
		}
		e.wake = func() {
			e.take(len(e.in))
			if e.got != session.NoEnd {
				e.close()
			}
		}
		say := func(text string) { e.write([]byte(text), func(bool) {}) }
		run.ids++
		open := fmt.Sprintf("OPEN %016x %016x c=%s,d=900", run.ids, run.ids, run.classes[0].name)
		switch kind % 9 {
		case 0:
			say("HELLO\r\n")
		case 1:
			say(open[:20]) // and nothing more
		case 2:
			say(open[:30])
			e.closeWrite()
		case 3:
			say(open + ",d=5\r\n")
		case 4:
			say(open + "\r\nand more\r\n")
		case 5:
			say(strings.Repeat("PING\r\n", 20))
		case 6:
			say(strings.Repeat("x", 5000))
		case 7: // silence
		case 8: // breaks off at once
			say(open + "\r\n")
			w.in(w.between(0, 5*time.Millisecond), e.reset)
		}
		w.in(6*time.Second, e.close) // the run lets go for longer
	})
}
