// This file owns the talk with discovery: the whole list, the watch on changes,
// and how a body becomes lines for the module. It must never drop the list that
// it has for want of a better one, hammer an agent that fails, or let a watch
// lapse between two answers.

package machine

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// Figures of the talk with an agent.
const (
	Lagging   = 500 * time.Millisecond // over the wait, the agent has fallen silent
	MaxBody   = 16 << 20
	watchWait = 2 * time.Second       // short: an unheard change counts as told soon after it
	leastWait = 50 * time.Millisecond // between calls that fail; with jitter, doubling
	mostWait  = time.Second
)

// What discovery has counts as told so long after it had it and could be reached, whatever became of the calls before:
// of lists that are pushed and of those that are asked for.
const toldWithin = 6 * time.Second

// worstTold is the longest way there: a call that was made just too early and breaks off at the end of its time, the
// longest pause, and a call that brings the whole list. Each length is below; that they fit, with a second to spare for
// the way to the books, is held when this is compiled.
const (
	mostPause = mostWait / 2 * 3
	worstTold = watchWait + Lagging + mostPause + wholeLimit
	_         = uint64(toldWithin - time.Second - worstTold)
)

// wholeLimit is the time of a call that waits for nothing.
const wholeLimit = 2 * Lagging

// Members is one answer of discovery.
type Members struct {
	version uint64
	full    bool
	entries []member
}

type member struct {
	name, addr string
	line       balance.Backend
}

// backendID hashes an id; it comes out alike on every relay.
func backendID(name string) balance.BackendID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return balance.BackendID(h.Sum64())
}

// IDOf is a backend's id in the module, by its name in the list.
func IDOf(name string) balance.BackendID { return backendID(name) }

// ParseMembers reads a body in discovery's form. One bad entry spoils the body:
// half a list taken for a whole one would declare backends gone.
func ParseMembers(body []byte, names *settings.Settings) (Members, error) {
	m, spoilt, err := readMembers(body, names)
	if err = errors.Join(err, spoilt); err != nil {
		return Members{}, err
	}
	return m, nil
}

// readMembers reads a body entry by entry: spoilt says what is wrong with some of them, err with the body as a whole.
func readMembers(body []byte, names *settings.Settings) (m Members, spoilt, err error) {
	var in struct {
		Version *uint64           `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return Members{}, nil, err
	}
	if in.Version == nil {
		return Members{}, nil, errors.New("no version")
	}
	m = Members{version: *in.Version, full: in.Full}
	for _, raw := range in.Servers {
		e, err := readMember(raw, names)
		if err != nil {
			spoilt = errors.Join(spoilt, err)
			continue
		}
		m.entries = append(m.entries, e)
	}
	return m, spoilt, nil
}

func readMember(raw json.RawMessage, names *settings.Settings) (member, error) {
	var s struct {
		ID      string          `json:"id"`
		Addr    string          `json:"addr"`
		Zone    json.RawMessage `json:"zone"`
		Kind    json.RawMessage `json:"kind"`
		Cell    int             `json:"cell"`
		State   string          `json:"state"`
		Weight  *float64        `json:"weight"`
		Started float64         `json:"started_ms"`
	}
	if err := json.Unmarshal(raw, &s); err != nil {
		return member{}, err
	}
	e := member{name: s.ID, addr: s.Addr, line: balance.Backend{ID: backendID(s.ID), Cell: s.Cell, Weight: 1,
		Zone: ordinal(s.Zone, names.ZoneNames), Kind: ordinal(s.Kind, names.KindNames)}}
	if s.Started > 0 {
		e.line.ReadyAt = time.Duration(s.Started * float64(time.Millisecond))
	}
	if s.Weight != nil {
		e.line.Weight = *s.Weight
	}
	switch s.State {
	case "ready":
		e.line.State = balance.StateReady
	case "draining":
		e.line.State = balance.StateDraining
	case "gone":
		e.line.State = balance.StateRemoved
	default:
		return member{}, fmt.Errorf("backend %q has unknown state %q", s.ID, s.State)
	}
	if s.ID == "" || s.Addr == "" && e.line.State == balance.StateReady {
		return member{}, fmt.Errorf("backend %q at %q lacks a name or an address", s.ID, s.Addr)
	}
	return e, nil
}

// ordinal turns a zone's or a kind's name into its number in the settings. What
// they do not know gets a number of its own.
func ordinal(raw json.RawMessage, names []string) int {
	var name string
	if json.Unmarshal(raw, &name) != nil {
		var n int
		_ = json.Unmarshal(raw, &n)
		return n
	}
	if i := index(names, []byte(name)); i >= 0 {
		return i
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return len(names) + int(h.Sum32()>>2)
}

// Agent is the talk with one address. Versions are its own. Its methods are called
// one at a time.
type Agent struct {
	Address  string
	set      *settings.Settings
	rng      *rand.Rand
	version  uint64
	have     bool // some version is known, so changes can be asked for
	watching bool
	asked    bool // the module asked for something
	wanted   bool // for a watch, since the last call began: it outlives that call's failure
	fetch    bool // for the whole list
	whole    bool // of the call that is out
	heard    bool // some answer has come
	wait     time.Duration
}

// NewAgent watches from the start where changes come unasked or where it follows
// another agent.
func NewAgent(address string, set *settings.Settings, moved bool, rng *rand.Rand) *Agent {
	return &Agent{Address: address, set: set, rng: rng, watching: !set.PollEndpoints || moved, wait: leastWait}
}

// Knows has an agent that is asked for changes go on from the list that a configuration holds, which is the agent's as
// this relay had it last. To fetch it whole and then watch would be two calls where one does: where lists come on
// request discovery has no room for that when many relays start together, and turns the watches away.
func (a *Agent) Knows(version uint64) {
	a.version, a.have = version, a.set.PollEndpoints
}

// Want hears what the module asks for: a watch, or the whole list once.
func (a *Agent) Want(watch bool) {
	a.asked = true
	a.wanted = a.wanted || watch
	a.fetch = a.fetch || !watch
}

// Call is one request to an agent.
type Call struct {
	Path  string
	Query string
	Limit time.Duration // of the whole call
	Whole bool
}

// Next is the call to make now; false: none until the module wants something.
func (a *Agent) Next() (Call, bool) {
	if !a.watching && !a.asked {
		return Call{}, false
	}
	a.watching = a.watching || a.wanted
	a.whole = !a.have || a.fetch || !a.watching
	a.asked, a.wanted, a.fetch = false, false, false
	if a.whole {
		return Call{Path: "/catalog/members", Limit: wholeLimit, Whole: true}, true
	}
	return Call{Path: "/catalog/members", Query: "index=" + strconv.FormatUint(a.version, 10) + "&wait=" +
		strconv.FormatInt(watchWait.Milliseconds(), 10), Limit: watchWait + Lagging}, true
}

// News is what an answer brings.
type News struct {
	Members Members
	Kind    balance.EndpointUpdateKind
	Any     bool          // something for the Node
	Pause   time.Duration // before the next call
}

// Answered takes in the body of an answer with status 200. Of a body with spoilt entries the sound ones are news all
// the same: a drain beside them has been told. But it is no list to go by from then on, so it is asked for again.
func (a *Agent) Answered(body []byte) (News, error) {
	l, spoilt, err := readMembers(body, a.set)
	if err != nil {
		return a.Failed(false), fmt.Errorf("body: %w", err)
	}
	if spoilt != nil {
		a.again()
		return News{Members: l, Kind: balance.UpdateDelta, Any: len(l.entries) > 0, Pause: a.backOff()}, fmt.Errorf("body: %w", spoilt)
	}
	// An agent whose versions go back has begun anew: what it knew in between was told to nobody.
	a.have = l.full || l.version >= a.version
	a.wait, a.version = leastWait, l.version
	n := News{Members: l, Kind: balance.UpdateDelta, Any: a.whole || l.full || len(l.entries) > 0 || !a.heard}
	a.heard = true
	if l.full {
		n.Kind = balance.UpdateFull
	}
	return n, nil
}

// Failed hears that a call brought nothing; silent says that its time ran out. It is made again soon: a watch goes on
// if the next call comes within 200 ms, and one that has fallen silent is broken and is opened anew at once, which its
// own time paces. However many fail in a row the watch does not lapse and the pause stays within mostPause: where lists
// come on request too, a change counts as told toldWithin after it could be heard. A relay whose calls fail at once
// makes one a second; 350 relays make as many calls a second at discovery as there are of them, all together.
func (a *Agent) Failed(silent bool) News {
	if a.again(); silent {
		return News{}
	}
	return News{Pause: a.backOff()}
}

// again has the call that is out made once more.
func (a *Agent) again() {
	a.asked = true
	a.fetch = a.fetch || a.whole
}

// backOff is the pause before the next call, longer each time in a row, and below mostPause.
func (a *Agent) backOff() time.Duration {
	pause := a.wait/2 + time.Duration(a.rng.Int64N(int64(a.wait)))
	a.wait = min(2*a.wait, mostWait)
	return pause
}
