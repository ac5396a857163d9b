package emulator

import (
	"math"
	"time"
)

const (
	// requestInterference is the share of the load by requests in flight that delays messages on connections.
	requestInterference = 0.5

	// minCapacity keeps quotients finite, in cores.
	minCapacity = 1e-9
)

// connection is a standing connection.
type connection struct {
	load  float64 // cores
	group uint64  // 0: none
}

// connectionTable holds the standing connections of a server.
type connectionTable struct {
	byID   map[uint64]connection
	groups map[uint64]int // connections in each group
	load   float64        // cores used by all connections, without their groups
}

func newConnectionTable() connectionTable {
	return connectionTable{byID: map[uint64]connection{}, groups: map[uint64]int{}}
}

// totalLoad returns the cores used by connections and their groups.
func (t *connectionTable) totalLoad(groupLoad float64) float64 {
	return t.load + groupLoad*float64(len(t.groups))
}

// set adds or replaces a connection.
func (t *connectionTable) set(id uint64, c connection) {
	t.remove(id)
	t.byID[id] = c
	t.load += c.load
	if c.group != 0 {
		t.groups[c.group]++
	}
}

// remove removes a connection, if it is there.
func (t *connectionTable) remove(id uint64) {
	c, ok := t.byID[id]
	if !ok {
		return
	}
	delete(t.byID, id)
	t.load -= c.load
	if len(t.byID) == 0 {
		t.load = 0 // without the rounding errors of the sum
	}
	if c.group == 0 {
		return
	}
	t.groups[c.group]--
	if t.groups[c.group] == 0 {
		delete(t.groups, c.group)
	}
}

// SetConnection opens a standing connection, or changes the load of an open one, in cores. The load of a group counts once
// for all its connections; group 0 is none.
func (s *Server) SetConnection(now time.Duration, id uint64, load float64, group uint64) {
	s.advance(now)
	s.connections.set(id, connection{load, group})
}

// CloseConnection closes a standing connection.
func (s *Server) CloseConnection(now time.Duration, id uint64) {
	s.advance(now)
	s.connections.remove(id)
}

// MessageLatency returns how long the server takes to handle a message on a standing connection: the time for its
// work, in core-seconds, multiplied by the utilization where that is above 1, plus the present lag.
func (s *Server) MessageLatency(now time.Duration, work float64) time.Duration {
	s.advance(now)
	core := s.coreSpeed()
	total := core * s.cfg.Cores
	requests := float64(s.InFlight()) / max(s.cfg.Cores, minCapacity) * requestInterference
	utilization := s.connectionLoad()/max(total, minCapacity) + requests
	return time.Duration((work/core*max(1, utilization) + s.lag) * 1e9)
}

// Utilization returns the offered load relative to the server's present capacity, exactly and without delay. It is
// infinite for a server that is down.
func (s *Server) Utilization(now time.Duration) float64 {
	s.advance(now)
	if s.down {
		return math.Inf(1)
	}
	return (s.connectionLoad() + float64(s.InFlight())) / max(s.totalSpeed(), minCapacity)
}
