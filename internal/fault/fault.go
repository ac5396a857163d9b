// Package fault describes the faults of a run as data: what fails, between which nodes, from when and for how
// long. It injects nothing. Package simulation does so on a virtual clock, package testcluster on processes and sockets.
//
// The JSON form of a fault is what scripts and stored results hold; its keys do not change with the names here.
package fault

import (
	"slices"
	"time"
)

// NodeKind is a kind of nodes that a link may join.
type NodeKind string

// The kinds of nodes.
const (
	Relays    NodeKind = "relays"
	Backends  NodeKind = "backends"
	Discovery NodeKind = "discovery"
	Clients   NodeKind = "clients"
)

// Fault is one fault of a run.
type Fault struct {
	Kind       string        `json:"kind"`           // one of the kinds that the driver supports
	Start      time.Duration `json:"at_ns"`          // since the run's start
	Duration   time.Duration `json:"for_ns"`         // of the fault
	Target     int           `json:"who"`            // a relay's or backend's index, modulo their number
	Severity   float64       `json:"much"`           // 0 to 1; what it scales depends on Kind
	Targets    []int         `json:"hit,omitempty"`  // indexes of relays or backends, in place of Target and Severity
	Link       *Link         `json:"link,omitempty"` // of faults of the kind "link"
	ScriptLine int           `json:"line,omitempty"` // where a script defines it; 0: unknown
}

// NodeSet is some or all nodes of one kind.
type NodeSet struct {
	Kind    NodeKind `json:"kind"`
	Indexes []int    `json:"who,omitempty"` // nil: all nodes of the kind
}

// Contains reports whether the set holds the node of this kind and index.
func (s NodeSet) Contains(kind NodeKind, index int) bool {
	return s.Kind == kind && (s.Indexes == nil || slices.Contains(s.Indexes, index))
}

// Link is a fault of the network between two sets of nodes.
//
// Streams stay in order and lose no bytes: a partition delays their bytes until it ends and lets no connection
// be established, a lost segment costs a retransmission.
type Link struct {
	From          NodeSet       `json:"from"`                // senders
	To            NodeSet       `json:"to"`                  // receivers
	Bidirectional bool          `json:"both,omitempty"`      // affects the other direction too
	Partitioned   bool          `json:"cut,omitempty"`       // nothing passes
	Buffered      bool          `json:"hold,omitempty"`      // nothing passes until the fault ends, then everything at once
	LossRate      float64       `json:"loss,omitempty"`      // share of datagrams lost, or of segments retransmitted
	DuplicateRate float64       `json:"double,omitempty"`    // share of datagrams that arrive twice
	ReorderRate   float64       `json:"reorder,omitempty"`   // share of datagrams that later ones overtake
	Delay         time.Duration `json:"delay_ns,omitempty"`  // added to everything
	Jitter        time.Duration `json:"jitter_ns,omitempty"` // upper bound of a random delay added to that
}

// Affects reports whether the fault applies to what one node sends to another.
func (l *Link) Affects(fromKind NodeKind, from int, toKind NodeKind, to int) bool {
	if l.From.Contains(fromKind, from) && l.To.Contains(toKind, to) {
		return true
	}
	return l.Bidirectional && l.From.Contains(toKind, to) && l.To.Contains(fromKind, from)
}
