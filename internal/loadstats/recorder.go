package loadstats

import "time"

// forever is the end of spans and connections that have not ended.
const forever time.Duration = 1 << 62

// Connection is one connection and the backend that held it.
type Connection struct {
	Key     uint64        // hash key
	Relay   int           // index of the relay that it came through
	Backend int           // index
	Load    float64       // cores that it uses
	Opened  time.Duration // since the start of the run
	Closed  time.Duration // likewise; set by the Recorder
}

// backendSpan is a period during which a backend was up.
type backendSpan struct {
	backend  int
	capacity float64 // cores
	up, down time.Duration
}

// includes reports whether the backend was up at a time.
func (s *backendSpan) includes(at time.Duration) bool { return s.up <= at && s.down > at }

// Recorder records which backends were up and which connections they held. The zero value is an empty one. It isn't safe
// for concurrent use.
type Recorder struct {
	connections []Connection
	open        map[uint64]int // index into connections, by the caller's ID
	spans       []backendSpan
}

// BackendUp records that a backend is up from a time on, with a capacity in cores, all of which connections may use.
func (r *Recorder) BackendUp(at time.Duration, backend int, capacity float64) {
	r.spans = append(r.spans, backendSpan{backend, capacity, at, forever})
}

// BackendDown records that a backend is down, or should hold no more connections. Its connections count as closed.
func (r *Recorder) BackendDown(at time.Duration, backend int) {
	for i := range r.spans {
		if s := &r.spans[i]; s.backend == backend && s.down == forever {
			s.down = at
		}
	}
	for id, i := range r.open {
		if r.connections[i].Backend == backend {
			r.connections[i].Closed = at
			delete(r.open, id)
		}
	}
}

// ConnectionOpened records that a backend holds a connection from its Opened on. The caller chooses the ID.
func (r *Recorder) ConnectionOpened(id uint64, c Connection) {
	if r.open == nil {
		r.open = map[uint64]int{}
	}
	c.Closed = forever
	r.open[id] = len(r.connections)
	r.connections = append(r.connections, c)
}

// ConnectionClosed records the end of a connection. It does nothing for one that is not open.
func (r *Recorder) ConnectionClosed(at time.Duration, id uint64) {
	if i, ok := r.open[id]; ok {
		r.connections[i].Closed = at
		delete(r.open, id)
	}
}

// Connections returns all connections in the order in which they were recorded.
func (r *Recorder) Connections() []Connection { return r.connections }

// backendCount returns one more than the highest index of a backend that was ever up.
func (r *Recorder) backendCount() (n int) {
	for _, s := range r.spans {
		n = max(n, s.backend+1)
	}
	return n
}
