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
	sessionTimeout = 1500 * time.Millisecond // for a client to get its session
	lineInterval   = time.Second             // between two lines of a client
	retryDelay     = 100 * time.Millisecond  // after a session that failed
	// drainNoticeTime is the time for the relay to read that a backend drains; earlier placements there are not counted.
	drainNoticeTime = 300 * time.Millisecond
	// keyStep spreads the clients' keys over the hash space: 2^64 divided by the golden ratio.
	keyStep = 0x9e3779b97f4a7c15
)

// errNotServed means that the relay answered OPEN with anything but UP.
var errNotServed = errors.New("not served")

// client is one client of the demonstration.
type client struct {
	*demonstration
	number int
	class  string
}

// run opens a session, and another one whenever it ends, until ctx is done or the relay drains.
func (c *client) run(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := c.session(ctx, attempt)
		c.mu.Lock()
		draining := c.relayDraining
		c.mu.Unlock()
		if draining {
			return
		}
		if err != nil {
			sleep(ctx, retryDelay)
		}
	}
}

// session runs one connection to the relay. It returns nil if the relay asked the client to migrate.
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

// open requests a session and returns the name of its backend.
func (c *client) open(conn net.Conn, in *bufio.Reader, attempt int) (backend string, err error) {
	requested := time.Now()
	option := ""
	if attempt > 0 {
		option = ",again=1"
	}
	key := uint64(c.number+1) * keyStep
	fmt.Fprintf(conn, "OPEN %08x%08x %016x c=%s,d=%d%s\r\n", c.number+1, attempt+1, key, c.class, sessionTimeout.Milliseconds(), option)
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
	c.countPlacement(backend, requested)
	c.printf("client %d (%s) is at %s", c.number, c.class, backend)
	return backend, nil
}

func (c *client) countPlacement(backend string, requested time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backendOf[c.number] = backend
	c.result.Placed++
	if backend == c.draining && !c.drainedAt.IsZero() && requested.After(c.drainedAt.Add(drainNoticeTime)) {
		c.result.PlacedAtDraining++
	}
}

// exchange sends a line every lineInterval, until the relay asks the client to migrate or the connection fails.
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
