// Package invariant is the invariant checker: it checks the externally visible behaviour of relays against a set of
// rules. Its input is what an observer on the network would see: the bytes on the relays' sides of their
// connections, when and how those connections end, which endpoint lists discovery sent to which relay, the datagrams
// between relays and what each relay holds of the others.
//
// A driver reports events to a Checker (RelayStarted, EndpointsReceived, ClientConn.Received,
// BackendConn.Written and so on), calls CheckOverdue periodically, and reads Checker.Violations. The package
// shares no code with the relay, parses the protocol's lines by itself and never queries a relay, so that a bug
// of the relay is not repeated here. It injects no faults and drives nothing.
//
// A Checker is not safe for concurrent use. Times are offsets on the clock that is passed to New.
package invariant

import (
	"fmt"
	"time"
)

// The rules, by their names in reports.
const (
	RuleAfterAnswer   = "after-answer"  // nothing follows a final answer or MOVE
	RuleAttemptLimit  = "attempt-limit" // no request is sent more often than its attempt limit allows
	RuleCold          = "cold"          // a cold backend gets no more requests than its capacity allows
	RuleCutOff        = "cut-off"       // no session with a healthy backend is ended by the relay without MOVE
	RuleDrain         = "drain"         // a draining backend gets no requests after the grace period
	RuleDrained       = "drained"       // a draining relay keeps no client and answers no probe with PONG
	RuleForged        = "made-up"       // every byte that is delivered was sent by the other side
	RuleHeldLine      = "held-line"     // lines and ends of connections are forwarded without delay
	RuleKeyedRepeat   = "keyed-repeat"  // a keyed request is repeated only within its deduplication window and scope
	RuleLateAnswer    = "late-answer"   // a final answer is sent by its deadline
	RuleLeft          = "left"          // nothing is sent for a client that has left
	RuleMoveInLine    = "move-in-line"  // MOVE does not interrupt a line
	RuleNoAnswer      = "no-answer"     // every client gets a final answer
	RuleOverlap       = "overlap"       // a request has at most one pending attempt
	RuleSilentBackend = "silent"        // no client stays with a backend that has stopped responding
	RuleUnsafeRepeat  = "unsafe-repeat" // a non-idempotent request is not repeated once it may have been executed
)

const (
	// maxViolations bounds the violations that are kept: later ones of the same run add little to the first ones.
	maxViolations = 20
	// blockedGrace is how long delays are still attributed to a peer that was not reading.
	blockedGrace = time.Second
)

// Idempotency determines which requests of a class may be sent again once an attempt may have been executed.
type Idempotency int

// The kinds of idempotency, in the order of what they allow: a later one allows fewer repeats.
const (
	Idempotent        Idempotency = iota // all, up to the attempt limit
	IdempotentWithKey                    // within Class.DedupWindow, and within a cell if Class.ScopedToCell is set
	NonIdempotent                        // none
)

// Class holds the settings of a request class that the rules depend on.
type Class struct {
	Name             string
	ClientTimeout    time.Duration // of a client whose request states none
	Idempotency      Idempotency
	ScopedToCell     bool          // backends deduplicate keyed requests within a cell; if false, across all cells
	DedupWindow      time.Duration // within which a keyed request may be repeated
	LatencyObjective time.Duration // a session established within this counts as on time
	MaxAttempts      int           // if lower than Limits.MaxAttempts; 0: no limit of its own
	TotalTimeout     time.Duration // until the final answer; 0: the client's timeout
}

// Limits are the bounds that relays are checked against. Durations include the allowance for the observer's own delays.
type Limits struct {
	Classes          []Class
	MaxAttempts      int           // of one request
	AnswerSlack      time.Duration // how much later than its deadline a final answer may come
	DrainGrace       time.Duration // how long after a relay received a backend's drain it may still send requests there
	DiscoveryDelay   time.Duration // time after which a relay must have received what its discovery agent has received
	MaxLineDelay     time.Duration // how long a line may be held back
	SilenceTimeout   time.Duration // how long a client may stay with a backend that does not answer
	DepartureGrace   time.Duration // how long after its client left an attempt may still start
	FirstLineTimeout time.Duration // a client that has not sent a whole line by then must have an answer
	ColdCapacity     float64       // share of its full capacity that a backend starts with
	WarmUp           time.Duration // time from a backend's start to its full capacity
	OverloadFactor   float64       // a cold backend may get this multiple of its current capacity within OverloadWindow
	OverloadWindow   time.Duration
	WarmRate         float64       // capacity of a warm backend, in requests a second
	ObservationDelay time.Duration // how late an event may be observed relative to later ones of another party; 0: in order
}

// Violation is one violation of a rule. Its JSON keys are those of stored results.
type Violation struct {
	Rule   string        `json:"Rule"` // one of the Rule constants
	At     time.Duration `json:"At"`   // since New
	Detail string        `json:"Text"` // what was observed
}

func (v Violation) String() string {
	return fmt.Sprintf("%s at %.6f: %s", v.Rule, v.At.Seconds(), v.Detail)
}

// Checker checks one run.
type Checker struct {
	Violations []Violation    // at most maxViolations, in the order observed
	Counts     map[string]int // occurrences of events by name, for reports

	limits Limits
	now    func() time.Duration
	after  func(time.Duration, func())
	epoch  time.Duration // when the checker was created

	relays       []relayState
	backends     []backendState
	clientConns  []*ClientConn  // open ones
	backendConns []*BackendConn // open ones
	requests     map[string]*request
	sessions     map[string]*BackendConn // by the text that the backend sent after UP
	membership   *membershipState        // nil: not watched
}

// New returns a checker for the given number of relays. now reads the clock; after schedules a call on that clock.
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
			policy:             requestPolicy{limits.Classes, limits.MaxAttempts},
			agentStates:        map[string]map[string]endpointState{},
			agentRespondsSince: map[string]time.Duration{},
		}
	}
	return c
}

// reportViolation records a violation of a rule.
func (c *Checker) reportViolation(rule, format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, Violation{rule, c.now() - c.epoch, fmt.Sprintf(format, args...)})
	}
}
