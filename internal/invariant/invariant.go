// Package invariant checks from outside that relays keep their promises. It sees what an observer on the
// network would see: the bytes on the relays' sides of their connections, when and how those connections end,
// and what discovery told which relay.
//
// A driver reports events to a Checker (RelayStarted, EndpointsReceived, ClientConn.Received,
// BackendConn.Written and so on), calls CheckOverdue now and then, and reads Checker.Violations. The package
// shares no code with the relay, parses the protocol's lines by itself and never queries a relay: a mistake of
// the relay must not be repeated here. It injects no faults and drives nothing.
//
// A Checker is not safe for concurrent use. Times are offsets on the clock that is given to New.
package invariant

import (
	"fmt"
	"time"
)

// The rules, by their names in reports.
const (
	RuleAfterAnswer   = "after-answer"  // nothing follows a final answer, nor MOVE
	RuleAttemptLimit  = "attempt-limit" // no request is sent more often than its attempts allow
	RuleCold          = "cold"          // a cold backend gets no more than it can bear
	RuleCutOff        = "cut-off"       // no client of a healthy backend is cut off without MOVE
	RuleDrain         = "drain"         // a draining backend gets nothing new after the grace period
	RuleDrained       = "drained"       // a draining relay keeps no client and answers no probe
	RuleForged        = "made-up"       // every byte that is delivered was said by the other side
	RuleHeldLine      = "held-line"     // no line and no end of a connection is held back
	RuleKeyedRepeat   = "keyed-repeat"  // a keyed request is repeated within its window and scope only
	RuleLateAnswer    = "late-answer"   // an answer comes in time
	RuleLeft          = "left"          // nothing is sent for a client that has left
	RuleMoveInLine    = "move-in-line"  // MOVE does not interrupt a line
	RuleNoAnswer      = "no-answer"     // every client gets an answer
	RuleOverlap       = "overlap"       // a request has one attempt pending at most
	RuleSilentBackend = "silent"        // no client stays with a backend that answers nothing
	RuleUnsafeRepeat  = "unsafe-repeat" // what is not idempotent is not repeated once it may have been executed
)

const (
	// maxViolations bounds what is kept of a run: after the first ones the rest says little more.
	maxViolations = 20
	// blockedGrace is how long after a peer took nothing delays are still put down to that.
	blockedGrace = time.Second
)

// Idempotency says which requests of a class may be sent again once an attempt may have been executed.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // all, as often as attempts are allowed
	IdempotentWithKey                    // within Class.DedupWindow, and within a cell if Class.ScopedToCell is set
	NonIdempotent                        // none
)

// Class is what the rules need of a class of requests.
type Class struct {
	Name             string
	ClientTimeout    time.Duration // how long a client waits that states no timeout of its own
	Idempotency      Idempotency
	ScopedToCell     bool          // duplicates of a keyed request are discarded within a cell only, else everywhere
	DedupWindow      time.Duration // in which a keyed request may be repeated
	LatencyObjective time.Duration // a session established within this counts as on time
	MaxAttempts      int           // fewer than Limits.MaxAttempts; 0: as many
	TotalTimeout     time.Duration // for the answer; 0: the client's timeout
}

// Limits are the figures that the rules hold relays to. Durations include what the observer has to allow for.
type Limits struct {
	Classes          []Class
	MaxAttempts      int           // for one request
	AnswerSlack      time.Duration // how much later than its deadline a final answer may come
	DrainGrace       time.Duration // how long a draining backend may still get requests
	DiscoveryDelay   time.Duration // after this a relay counts as told of what its agent has learned
	MaxLineDelay     time.Duration // how long a line may be held back
	SilenceTimeout   time.Duration // how long a client may stay with a backend that answers nothing
	DepartureGrace   time.Duration // how long after a client left an attempt may still begin
	FirstLineTimeout time.Duration // who has not sent a whole line by then has an answer
	ColdCapacity     float64       // share of its capacity that a backend starts with
	WarmUp           time.Duration // until a backend has its whole capacity
	OverloadFactor   float64       // a cold backend may get this multiple of its present capacity within OverloadWindow
	OverloadWindow   time.Duration
	WarmRate         float64       // capacity of a warm backend, in requests a second
	ObservationDelay time.Duration // how much later one party's event may be observed than another's that followed it; 0: never
}

// Violation is one case of a rule that was not kept. Its JSON keys are those of stored results.
type Violation struct {
	Rule   string        `json:"Rule"` // such as RuleOverlap
	At     time.Duration `json:"At"`   // since New
	Detail string        `json:"Text"` // what was observed
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6f: %s", v.Rule, v.At.Seconds(), v.Detail)
}

// Checker checks one run.
type Checker struct {
	Violations []Violation    // the first ones, in the order observed
	Counts     map[string]int // how often what was observed, for reports

	limits Limits
	now    func() time.Duration
	after  func(time.Duration, func())
	epoch  time.Duration // when the checker was made

	relays       []relayState
	backends     []backendState
	clientConns  []*ClientConn  // open ones
	backendConns []*BackendConn // open ones
	requests     map[string]*request
	sessions     map[string]*BackendConn // by what the backend said after UP
}

// New returns a checker for a number of relays. now is the clock; after calls a function back later on it.
func New(limits Limits, relays int, now func() time.Duration, after func(time.Duration, func())) *Checker {
	c := &Checker{
		Counts:   map[string]int{},
		limits:   limits,
		now:      now,
		after:    after,
		epoch:    now(),
		relays:   make([]relayState, relays),
		requests: map[string]*request{},
		sessions: map[string]*BackendConn{},
	}
	for i := range c.relays {
		c.relays[i] = relayState{
			terms:       requestTerms{limits.Classes, limits.MaxAttempts},
			agentKnows:  map[string]map[string]endpointState{},
			silentSince: map[string]time.Duration{},
		}
	}
	return c
}

// violated records that a rule was not kept.
func (c *Checker) violated(rule, format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, c.now() - c.epoch, fmt.Sprintf(format, args...)})
	}
}
