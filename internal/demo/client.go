package demo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

const (
	patience     = 1500 * time.Millisecond // how long a client waits for its session
	lineInterval = time.Second             // between two lines of a client
	retryDelay   = 100 * time.Millisecond  // after a session that failed
	// noticeTime is how long the relay may take to hear that a backend drains before a placement there counts.
	noticeTime = 300 * time.Millisecond
	// keyStep spreads the clients' keys over the hash space: 2^64 divided by the golden ratio.
	keyStep = 0x9e3779b97f4a7c15
)

// errNotServed means that the relay answered a session with anything but UP.
var errNotServed = errors.New("not served")

// client is one client of the demonstration.
type client struct {
	*demonstration
	number int
	class  string
}

// run holds a session, and a new one whenever it ends, until ctx is done or the relay leaves.
func (c *client) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := c.session(ctx, attempt)
		c.mu.Lock()
		leaving := c.relayLeaving
		c.mu.Unlock()
		if leaving {
			return
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

// session holds one connection to the relay. It returns nil if the client was asked to move.
func (c *client) session(ctx context.Context, attempt int) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", c.relayAddr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	in := bufio.NewReader(conn)
	backend, err := c.open(conn, in, attempt)
	if err != nil {
		return err
	}
	defer func() {
		c.mu.Lock()
		delete(c.backendOf, c.number)
		c.mu.Unlock()
	}()
	return c.exchange(conn, in, backend)
}

// open asks for a session and returns the name of its backend.
func (c *client) open(conn net.Conn, in *bufio.Reader, attempt int) (backend string, err error) {
	asked := time.Now()
	again := ""
	if attempt > 0 {
		again = ",again=1"
	}
	key := uint64(c.number+1) * keyStep
	fmt.Fprintf(conn, "OPEN %08x%08x %016x c=%s,d=%d%s\r\n", c.number+1, attempt+1, key, c.class, patience.Milliseconds(), again)
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	answer := strings.TrimSpace(line)
	backend, established := strings.CutPrefix(answer, "UP ")
	if !established {
		c.printf("client %d (%s) is answered %s", c.number, c.class, answer)
		return "", errNotServed
	}
	c.countPlacement(backend, asked)
	c.printf("client %d (%s) is at %s", c.number, c.class, backend)
	return backend, nil
}

func (c *client) countPlacement(backend string, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backendOf[c.number] = backend
	c.result.Placed++
	if backend == c.draining && !c.drainedAt.IsZero() && asked.After(c.drainedAt.Add(noticeTime)) {
		c.result.PlacedAtDraining++
	}
}

// exchange sends a line now and then, until the client is asked to move or the connection fails.
func (c *client) exchange(conn net.Conn, in *bufio.Reader, backend string) error {
	for {
		if _, err := fmt.Fprintf(conn, "hello %d\r\n", c.number); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(lineInterval))
		moved, err := c.readUntilDeadline(in)
		if err != nil {
			return err
		}
		if moved {
			c.mu.Lock()
			c.result.Moved++
			c.mu.Unlock()
			c.printf("client %d is moved off %s", c.number, backend)
			return nil
		}
	}
}

// readUntilDeadline reads lines until the connection's deadline and reports whether one was MOVE, which ends it.
func (c *client) readUntilDeadline(in *bufio.Reader) (moved bool, err error) {
	for {
		line, err := in.ReadString('\n')
		var netError net.Error
		if errors.As(err, &netError) && netError.Timeout() {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if strings.TrimSpace(line) == "MOVE" {
			return true, nil
		}
	}
}
