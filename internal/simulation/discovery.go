package simulation

import (
	"fmt"
	"strings"
	"time"

	"aspenbarrow/internal/discovery"
)

// entry is one backend in discovery's list.
type entry struct {
	id      string
	addr    string
	zone    string
	cell    int
	state   string
	weight  float64
	started time.Duration // 0: long ago
	rev     int           // counts what has been published
}

// catalog is the truth about the backends.
type catalog struct {
	run    *run
	agents []*agent // two for each relay
	late   time.Duration
	rev    int
}

// agent is one of discovery's processes. It learns of the truth late, counts versions of
// its own, and answers with what it has learnt or not at all.
type agent struct {
	c       *catalog
	relay   int
	address string
	out     bool
	deaf    bool // learns nothing any more: the machines follow another
	version int
	list    []known // in the order in which they were learnt of
	watches []*watch
}

type known struct {
	entry
	since   int           // version
	learned time.Duration // when this agent had it
}

type watch struct {
	from   int
	answer func(body []byte, tell func())
	over   bool
}

func (c *catalog) agent(address string) *agent {
	for _, a := range c.agents {
		if a.address == address {
			return a
		}
	}
	panic("no agent at " + address)
}

// publish has all agents learn an entry, each in its own time.
func (c *catalog) publish(e entry) {
	w := c.run.w
	c.rev++
	e.rev = c.rev
	for _, a := range c.agents {
		w.in(w.between(200*time.Millisecond, 900*time.Millisecond)+c.late, func() { a.learn(e) })
	}
}

func (a *agent) learn(e entry) {
	if a.deaf {
		return
	}
	for i := range a.list {
		if a.list[i].id == e.id && a.list[i].rev > e.rev { // what is late must not undo what is newer
			return
		}
	}
	a.version++
	w := a.c.run.w
	a.c.run.check.AgentLearned(a.relay, a.address, e.id, e.state)
	k := known{e, a.version, w.now}
	for i := range a.list {
		if a.list[i].id == e.id {
			a.list[i] = k
			k.id = ""
			break
		}
	}
	if k.id != "" {
		a.list = append(a.list, k)
	}
	a.flush()
}

// flush answers the watches that something is newer for.
func (a *agent) flush() {
	if a.out {
		return
	}
	ws := a.watches
	a.watches = nil
	for _, x := range ws {
		switch {
		case x.over:
		case a.version > x.from:
			x.over = true
			a.reply(x.from, false, x.answer)
		default:
			a.watches = append(a.watches, x)
		}
	}
}

// ask takes in a call. The answer comes with what is to be done when it arrives.
func (a *agent) ask(c discovery.Request, answer func(body []byte, tell func())) {
	w := a.c.run.w
	w.in(w.delay()/4+w.agentWay(a.relay), func() {
		if a.out {
			return // silent; the caller gives up by itself
		}
		if c.FullList {
			a.reply(0, true, answer)
			return
		}
		var from, wait int
		if _, err := fmt.Sscanf(c.Query, "index=%d&wait=%d", &from, &wait); err != nil {
			panic("a call that discovery does not know: " + c.Query)
		}
		if a.version > from {
			a.reply(from, false, answer)
			return
		}
		x := &watch{from: from, answer: answer}
		a.watches = append(a.watches, x)
		w.in(time.Duration(wait)*time.Millisecond, func() {
			if !x.over && !a.out {
				x.over = true
				a.reply(from, false, answer)
			}
		})
	})
}

func (a *agent) reply(from int, full bool, answer func(body []byte, tell func())) {
	var told []entry
	for i := range a.list {
		if k := &a.list[i]; k.since > from && (!full || k.state != "gone") {
			told = append(told, k.entry)
		}
	}
	relay := a.relay
	answer(body(a.version, full, told), func() { a.c.run.told(relay, full, told) })
}

func (a *agent) setOut(out bool) {
	a.out = out
	if out {
		a.watches = nil
	} else {
		a.flush()
	}
	a.c.run.check.SetAgentSilent(a.relay, a.address, out)
}

// body is an answer in discovery's form.
func body(version int, full bool, list []entry) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"full":%v,"servers":[`, version, full)
	for i, e := range list {
		if i > 0 {
			b.WriteByte(',')
		}
		ms := int64(0)
		if e.started > 0 {
			ms = e.started.Milliseconds()
		}
		fmt.Fprintf(&b, `{"id":%q,"addr":%q,"zone":%q,"kind":"k","cell":%d,"state":%q,"weight":%g,"started_ms":%d}`,
			e.id, e.addr, e.zone, e.cell, e.state, e.weight, ms)
	}
	b.WriteString("]}")
	return []byte(b.String())
}
