// Package balance decides which backend serves each long-lived connection.
//
// A Balancer is one relay's decisions. It is told events (methods on Balancer,
// each given the time) and answers through Actions. It knows nothing of wires,
// sockets or clocks, and it is not safe for concurrent use.
package balance

import "time"

// BackendID names a backend. It is opaque: it says nothing of place or age.
type BackendID uint64

// State is what the list says of a backend.
type State uint8

// The states a list knows.
const (
	StateGone State = iota
	StateReady
	StateDraining
)

// Backend is one line of a list.
type Backend struct {
	ID      BackendID
	State   State
	Zone    int
	Cell    int           // backends of one cell share which keys they have seen
	Weight  float64       // registered size; see Settings.Weights
	Kind    int           // machine kind
	ReadyAt time.Duration // when it last started; 0: long ago
}

// Effect says what a repeat of a request does.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // repeats do no harm
	Keyed                // repeats are discarded within Class.Scope and Class.Window
	Unsafe               // a repeat may act twice
)

// Scope is the group of backends that discards repeats of a keyed request.
type Scope uint8

// The scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class is a kind of request.
type Class struct {
	OnTime     time.Duration // set up within this time earns full worth
	GiveUp     time.Duration // the client's patience
	MessageAim time.Duration // a message on an open connection is wanted within this
	Effect     Effect
	Scope      Scope
	Window     time.Duration // how long repeats of a keyed request are discarded
	Worth      float64
	Name       uint64 // the same for all classes of one name, whatever their numbers; 0: not told
	Gone       bool   // dropped from the settings: only requests taken before have it
}

// Timing says how long a request may take and how often it is tried. It never
// changes once a request has it. A zero field leaves that to the Settings.
type Timing struct {
	Connect    time.Duration // for a connection to come up; 0: Settings.DialTimeout
	Attempt    time.Duration // for one attempt, connecting included; 0: all that is left
	Total      time.Duration // for the whole; 0: as long as the client waits
	Attempts   int           // at most; 0: Settings.TryLimit, which is never exceeded
	Backoff    time.Duration // before the second attempt; doubles from one to the next, with jitter
	MaxBackoff time.Duration // and goes no higher; 0: no ceiling
	Budget     float64       // further attempts that a request earns its relay; 0: the usual share
	Second     time.Duration // silence after which the first attempt gives way to another; 0: never
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share       float64 // of the service
	QuotaPerS   float64 // requests a second within its share, all relays
	Connections float64 // open connections within its share, all relays; 0: not told
}

// Weights says what Backend.Weight means.
type Weights uint8

// The meanings of a weight.
const (
	WeightsOff Weights = iota
	WeightsNominal
	WeightsRough
	WeightsLive // varies with the load; no size to hash by
)

// Field names a value of a load report.
type Field uint8

// The fields.
const (
	FieldOther       Field = iota
	FieldInflight          // requests held
	FieldQueue             // requests waiting
	FieldUtilization       // busy share of the cores
	FieldErrors            // errors a second
	FieldLoadShare         // load asked over what the backend can do
	FieldPiledUp           // seconds of work piled up
)

// Prices are points of the goal, as fractions of it.
type Prices struct {
	CrossZone, Waste, Probe, Move, Peer, List, LateFail float64
}

// Settings are what a relay is born with, or has from a reload on. A class's number stays its own: a changed
// class is another, with a number behind the others.
type Settings struct {
	Me, Relays int // this relay's number among how many
	Zone       int
	Tick       time.Duration

	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64

	Groups      bool // a group's connections share work on a backend
	PassThrough bool // packets pass through: connections may arrive mid-flow
	TellsLoad   bool // notes tell a connection's load
	TellsDelay  bool // notes tell a backend's message time
	Park        time.Duration

	Probes, Peers, Cancel, RetryAfter bool

	TryLimit      int
	MaxRetryAfter time.Duration
	DialTimeout   time.Duration

	ListOnRequest bool
	AskEvery      time.Duration // unsubscribed silence for this long counts as being told

	AnswerSlack  time.Duration
	DrainGrace   time.Duration
	ColdFrom     float64 // a fresh backend starts at no less than this share of its capacity
	WarmUp       time.Duration
	FallMultiple float64
	FallSpan     time.Duration

	Weights Weights
	Report  []Field // what a load report holds, in order
	Prices  Prices
}

// Request is a connection asking for a place.
type Request struct {
	ID      uint64
	Class   int
	Tenant  int
	Key     uint64 // the client's key; 0: none
	Group   uint64 // connections of one group share work; 0: none
	Left    time.Duration
	Load    float64 // expected load in microseconds of work a second; 0: not told
	Repeat  bool
	MidFlow bool    // packets of an open connection that another relay placed
	Back    bool    // the client returned after a break or a move
	Timing  *Timing // nil: the settings' own
}

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	OK Status = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Ran reports whether the attempt may have acted.
func (s Status) Ran() bool { return s != Full && s != ConnectFailed && s != Moot }

// Outcome is the end of one attempt.
type Outcome struct {
	ID      uint64
	Attempt int
	Backend BackendID
	Status  Status
	Latency time.Duration
	Closed  bool // the request has ended; nothing is owed
	Load    []float32
}

// Report is a probe's answer.
type Report struct {
	Backend BackendID
	Status  Status
	Latency time.Duration
	Load    []float32
}

// ListKind says what a list event brings.
type ListKind uint8

// The kinds of list event.
const (
	ListDelta ListKind = iota
	ListFull
	ListCached // the last one held before a restart; may be stale
	ListFailed
)

// NoteKind says what a note tells.
type NoteKind uint8

// The kinds of note.
const (
	NoteLoad  NoteKind = 1 // microseconds of work a second, now
	NoteDelay NoteKind = 2 // milliseconds that a message takes at the backend, now
)

// Actions is what a Balancer does to the world.
type Actions interface {
	Send(id uint64, to BackendID, timeout time.Duration)
	Refuse(id uint64, retryAfter time.Duration)
	Fail(id uint64)
	Cancel(id uint64, attempt int)
	Probe(to BackendID)
	Release(to BackendID)
	Move(id uint64)
	Tell(peer int, data []byte) // peer below 0: all
	After(token uint64, d time.Duration)
	Subscribe(on bool)
	Fetch()
	Log(text string)
}
