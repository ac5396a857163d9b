// Package discovery is the client of the service that lists backends: which call to make next, how long to back off after
// a failure, and how a response becomes an endpoint list. It does no I/O; the caller makes the calls.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// Figures of the talk with an agent.
const (
	ResponseGrace = 500 * time.Millisecond // over the wait, the agent has fallen silent
	MaxBodyBytes  = 16 << 20
	watchTimeout  = 2 * time.Second       // short: an unheard change counts as told soon after it
	minBackoff    = 50 * time.Millisecond // between calls that fail; with jitter, doubling
	maxBackoff    = time.Second
)

// What discovery has counts as told so long after it had it and could be reached, whatever became of the calls before:
// of lists that are pushed and of those that are asked for.
const maxStaleness = 6 * time.Second

// worstTold is the longest way there: a call that was made just too early and breaks off at the end of its time, the
// longest pause, and a call that brings the whole list. Each length is below; that they fit, with a second to spare for
// the way to the books, is held when this is compiled.
const (
	maxRetryDelay  = maxBackoff / 2 * 3
	worstStaleness = watchTimeout + ResponseGrace + maxRetryDelay + listTimeout
	_              = uint64(maxStaleness - time.Second - worstStaleness)
)

// listTimeout is the time of a call that waits for nothing.
const listTimeout = 2 * ResponseGrace

// EndpointList is one answer of discovery.
type EndpointList struct {
	Version   uint64
	Full      bool
	Endpoints []Endpoint
}

type Endpoint struct {
	Name, Address string
	Backend       balance.Backend
}

// BackendID hashes an id; it comes out alike on every relay.
func BackendID(name string) balance.BackendID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return balance.BackendID(h.Sum64())
}

// ParseEndpoints reads a body in discovery's form. One bad entry spoils the body:
// half a list taken for a whole one would declare backends gone.
func ParseEndpoints(body []byte, names *settings.Settings) (EndpointList, error) {
	m, spoilt, err := ParseEndpointsLenient(body, names)
	if err = errors.Join(err, spoilt); err != nil {
		return EndpointList{}, err
	}
	return m, nil
}

// ParseEndpointsLenient reads a body entry by entry: spoilt says what is wrong with some of them, err with the body as a whole.
func ParseEndpointsLenient(body []byte, names *settings.Settings) (m EndpointList, spoilt, err error) {
	var in struct {
		Version *uint64           `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return EndpointList{}, nil, err
	}
	if in.Version == nil {
		return EndpointList{}, nil, errors.New("no version")
	}
	m = EndpointList{Version: *in.Version, Full: in.Full}
	for _, raw := range in.Servers {
		e, err := parseEndpoint(raw, names)
		if err != nil {
			spoilt = errors.Join(spoilt, err)
			continue
		}
		m.Endpoints = append(m.Endpoints, e)
	}
	return m, spoilt, nil
}

func parseEndpoint(raw json.RawMessage, names *settings.Settings) (Endpoint, error) {
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
		return Endpoint{}, err
	}
	e := Endpoint{Name: s.ID, Address: s.Addr, Backend: balance.Backend{ID: BackendID(s.ID), Cell: s.Cell, Weight: 1,
		Zone: nameOrdinal(s.Zone, names.ZoneNames), Kind: nameOrdinal(s.Kind, names.KindNames)}}
	if s.Started > 0 {
		e.Backend.ReadyAt = time.Duration(s.Started * float64(time.Millisecond))
	}
	if s.Weight != nil {
		e.Backend.Weight = *s.Weight
	}
	switch s.State {
	case "ready":
		e.Backend.State = balance.StateReady
	case "draining":
		e.Backend.State = balance.StateDraining
	case "gone":
		e.Backend.State = balance.StateRemoved
	default:
		return Endpoint{}, fmt.Errorf("backend %q has unknown state %q", s.ID, s.State)
	}
	if s.ID == "" || s.Addr == "" && e.Backend.State == balance.StateReady {
		return Endpoint{}, fmt.Errorf("backend %q at %q lacks a name or an address", s.ID, s.Addr)
	}
	return e, nil
}

// nameOrdinal turns a zone's or a kind's name into its number in the settings. What
// they do not know gets a number of its own.
func nameOrdinal(raw json.RawMessage, names []string) int {
	var name string
	if json.Unmarshal(raw, &name) != nil {
		var n int
		_ = json.Unmarshal(raw, &n)
		return n
	}
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return len(names) + int(h.Sum32()>>2)
}

// Client is the talk with one address. Versions are its own. Its methods are called
// one at a time.
type Client struct {
	Address        string
	settings       *settings.Settings
	rng            *rand.Rand
	version        uint64
	hasVersion     bool // some version is known, so changes can be asked for
	watching       bool
	requested      bool // the module asked for something
	watchRequested bool // for a watch, since the last call began: it outlives that call's failure
	listRequested  bool // for the whole list
	fetchingList   bool // of the call that is out
	answered       bool // some answer has come
	backoff        time.Duration
}

// NewClient watches from the start where changes come unasked or where it follows
// another agent.
func NewClient(address string, set *settings.Settings, moved bool, rng *rand.Rand) *Client {
	return &Client{Address: address, settings: set, rng: rng, watching: !set.PollEndpoints || moved, backoff: minBackoff}
}

// ResumeFrom has an agent that is asked for changes go on from the list that a configuration holds, which is the agent's as
// this relay had it last. To fetch it whole and then watch would be two calls where one does: where lists come on
// request discovery has no room for that when many relays start together, and turns the watches away.
func (a *Client) ResumeFrom(version uint64) {
	a.version, a.hasVersion = version, a.settings.PollEndpoints
}

// Schedule hears what the module asks for: a watch, or the whole list once.
func (a *Client) Schedule(watch bool) {
	a.requested = true
	a.watchRequested = a.watchRequested || watch
	a.listRequested = a.listRequested || !watch
}

// Request is one request to an agent.
type Request struct {
	Path     string
	Query    string
	Timeout  time.Duration // of the whole call
	FullList bool
}

// NextRequest is the call to make now; false: none until the module wants something.
func (a *Client) NextRequest() (Request, bool) {
	if !a.watching && !a.requested {
		return Request{}, false
	}
	a.watching = a.watching || a.watchRequested
	a.fetchingList = !a.hasVersion || a.listRequested || !a.watching
	a.requested, a.watchRequested, a.listRequested = false, false, false
	if a.fetchingList {
		return Request{Path: "/catalog/members", Timeout: listTimeout, FullList: true}, true
	}
	return Request{Path: "/catalog/members", Query: "index=" + strconv.FormatUint(a.version, 10) + "&wait=" +
		strconv.FormatInt(watchTimeout.Milliseconds(), 10), Timeout: watchTimeout + ResponseGrace}, true
}

// Update is what an answer brings.
type Update struct {
	Endpoints  EndpointList
	Kind       balance.EndpointUpdateKind
	Changed    bool          // something for the Node
	RetryDelay time.Duration // before the next call
}

// HandleResponse takes in the body of an answer with status 200. Of a body with spoilt entries the sound ones are news all
// the same: a drain beside them has been told. But it is no list to go by from then on, so it is asked for again.
func (a *Client) HandleResponse(body []byte) (Update, error) {
	l, spoilt, err := ParseEndpointsLenient(body, a.settings)
	if err != nil {
		return a.HandleFailure(false), fmt.Errorf("body: %w", err)
	}
	if spoilt != nil {
		a.retry()
		return Update{Endpoints: l, Kind: balance.UpdateDelta, Changed: len(l.Endpoints) > 0, RetryDelay: a.nextBackoff()}, fmt.Errorf("body: %w", spoilt)
	}
	// An agent whose versions go back has begun anew: what it knew in between was told to nobody.
	a.hasVersion = l.Full || l.Version >= a.version
	a.backoff, a.version = minBackoff, l.Version
	n := Update{Endpoints: l, Kind: balance.UpdateDelta, Changed: a.fetchingList || l.Full || len(l.Endpoints) > 0 || !a.answered}
	a.answered = true
	if l.Full {
		n.Kind = balance.UpdateFull
	}
	return n, nil
}

// HandleFailure hears that a call brought nothing; silent says that its time ran out. It is made again soon: a watch goes on
// if the next call comes within 200 ms, and one that has fallen silent is broken and is opened anew at once, which its
// own time paces. However many fail in a row the watch does not lapse and the pause stays within mostPause: where lists
// come on request too, a change counts as told toldWithin after it could be heard. A relay whose calls fail at once
// makes one a second; 350 relays make as many calls a second at discovery as there are of them, all together.
func (a *Client) HandleFailure(silent bool) Update {
	if a.retry(); silent {
		return Update{}
	}
	return Update{RetryDelay: a.nextBackoff()}
}

// retry has the call that is out made once more.
func (a *Client) retry() {
	a.requested = true
	a.listRequested = a.listRequested || a.fetchingList
}

// nextBackoff is the pause before the next call, longer each time in a row, and below mostPause.
func (a *Client) nextBackoff() time.Duration {
	pause := a.backoff/2 + time.Duration(a.rng.Int64N(int64(a.backoff)))
	a.backoff = min(2*a.backoff, maxBackoff)
	return pause
}
