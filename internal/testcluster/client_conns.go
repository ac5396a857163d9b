package testcluster

import (
	"net"
	"sync"

	"aspenbarrow/internal/invariant"
)

// clientConns are the open connections of clients, so that those of one of a relay's two processes can be told from the
// other's.
type clientConns struct {
	mu     sync.Mutex
	open   map[connection]*clientConn
	killed map[connection]bool // accepted by a process that was killed, and not added yet
}

// clientConn is a client's connection.
type clientConn struct {
	key      connection
	observer *invariant.ClientConn
	killed   bool // the process that accepted it has been killed, another process of the relay runs on
}

// add adds a connection that a client has opened.
func (conns *clientConns) add(c *cluster, conn *net.TCPConn, observer *invariant.ClientConn) *clientConn {
	added := &clientConn{connection{conn.RemoteAddr().(*net.TCPAddr).AddrPort(), conn.LocalAddr().(*net.TCPAddr).AddrPort()}, observer, false}
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.open == nil {
		conns.open = map[connection]*clientConn{}
	}
	conns.open[added.key] = added
	if conns.killed[added.key] {
		delete(conns.killed, added.key)
		conns.mark(c, added)
	}
	return added
}

// remove removes a connection that its client has closed.
func (conns *clientConns) remove(removed *clientConn) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	if conns.open[removed.key] == removed {
		delete(conns.open, removed.key)
	}
}

// markKilled reports connections to the invariant checker as those of a process that is being killed.
func (conns *clientConns) markKilled(c *cluster, connections []connection) {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	for _, key := range connections {
		if found := conns.open[key]; found != nil {
			conns.mark(c, found)
			continue
		}
		if conns.killed == nil {
			conns.killed = map[connection]bool{}
		}
		conns.killed[key] = true
	}
}

// mark marks one connection. It is called with the lock held.
func (conns *clientConns) mark(c *cluster, marked *clientConn) {
	marked.killed = true
	c.incrementCount(countConnectionsOfSuccessor)
	c.withChecker(marked.observer.ProcessKilled)
}

// wasKilled reports whether the process that accepted the connection has been killed while another one ran on.
func (conns *clientConns) wasKilled(conn *clientConn) bool {
	conns.mu.Lock()
	defer conns.mu.Unlock()
	return conn.killed
}
