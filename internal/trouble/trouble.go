// Package trouble describes faults as data: what goes wrong in a run, between which parties, and when. The drivers of
// package world (a virtual clock) and package fleet (processes on sockets) inject them.
package trouble

import (
	"slices"
	"time"
)

// The parties that a link may join.
const (
	Relays    = "relays"
	Backends  = "backends"
	Discovery = "discovery"
	Clients   = "clients"
)

// Fault is one trouble of a run.
type Fault struct {
	Kind string        `json:"kind"`           // by the driver's name for it
	At   time.Duration `json:"at_ns"`          // from the run's beginning
	For  time.Duration `json:"for_ns"`         // how long
	Who  int           `json:"who"`            // which relay or backend, modulo how many there are
	Much float64       `json:"much"`           // how bad, from 0 to 1
	Hit  []int         `json:"hit,omitempty"`  // these relays or backends, in place of Who and Much
	Link *Link         `json:"link,omitempty"` // what becomes of a way between parties
	Line int           `json:"line,omitempty"` // of the script; 0: not told
}

// Party is some or all parties of a kind.
type Party struct {
	Kind string `json:"kind"`          // Relays, Backends, Discovery or Clients
	Who  []int  `json:"who,omitempty"` // their numbers; nil: all
}

// Has says whether one of a kind is among them.
func (p Party) Has(kind string, who int) bool {
	return p.Kind == kind && (p.Who == nil || slices.Contains(p.Who, who))
}

// Link is what becomes of what passes from one party to another. On streams bytes stay in order and none is lost: a
// cut holds them until it ends and lets no connection come up, a loss costs a retransmission.
type Link struct {
	From    Party         `json:"from"`                // who sends
	To      Party         `json:"to"`                  // who receives
	Both    bool          `json:"both,omitempty"`      // and the other way
	Cut     bool          `json:"cut,omitempty"`       // nothing passes
	Hold    bool          `json:"hold,omitempty"`      // nothing passes until the end, then all at once
	Loss    float64       `json:"loss,omitempty"`      // share of datagrams lost, or segments sent again
	Double  float64       `json:"double,omitempty"`    // share of datagrams that arrive twice
	Reorder float64       `json:"reorder,omitempty"`   // share of datagrams that later ones overtake
	Delay   time.Duration `json:"delay_ns,omitempty"`  // so much later
	Jitter  time.Duration `json:"jitter_ns,omitempty"` // up to so much more
}

// Touches says whether what passes from one to another meets the link's trouble.
func (l *Link) Touches(fromKind string, from int, toKind string, to int) bool {
	return l.From.Has(fromKind, from) && l.To.Has(toKind, to) || l.Both && l.From.Has(toKind, to) && l.To.Has(fromKind, from)
}
