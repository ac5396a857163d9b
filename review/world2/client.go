package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// lineInterval is how often a client with an open connection sends a line.
const lineInterval = 2 * time.Second

// clientConn is one connection of a client.
type clientConn struct {
	world  *world
	label  string
	id     string
	conn   net.Conn
	reader *bufio.Reader
	opened time.Time // when the OPEN line was written
}

// open connects and sends an OPEN line; extra is appended to its parameters.
func (w *world) open(label, relay, id, key, class string, timeout time.Duration, extra string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", relay, time.Second)
	if err != nil {
		w.logf("client    %s cannot connect: %v", label, err)
		return nil, err
	}
	c := &clientConn{world: w, label: label, id: id, conn: conn, reader: bufio.NewReader(conn), opened: time.Now()}
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d%s", id, key, class, timeout.Milliseconds(), extra)
	w.logf("client    %s sends %s", label, line)
	if _, err := fmt.Fprintf(conn, "%s\r\n", line); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// readAnswer reads the answer to the OPEN line; an empty one means that none came within the limit.
func (c *clientConn) readAnswer(limit time.Duration) string {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	line, err := c.reader.ReadString('\n')
	_ = c.conn.SetReadDeadline(time.Time{})
	line = strings.TrimSpace(line)
	c.world.logf("client    %s receives %q after %.3f s (%v)", c.label, line, time.Since(c.opened).Seconds(), err)
	return line
}

// end is how an established connection ended for its client.
type end string

// The ends of a connection.
const (
	endMoved  end = "moved"  // by MOVE
	endClosed end = "closed" // in an orderly way, without MOVE
	endReset  end = "reset"
	endLeft   end = "left" // by the client
)

// hold sends a line every lineInterval until the connection ends or the client leaves after life.
func (c *clientConn) hold(life time.Duration) end {
	defer c.conn.Close()
	leave := time.Now().Add(life)
	go func() {
		for n := 0; time.Now().Before(leave); n++ {
			if _, err := fmt.Fprintf(c.conn, "line %d\r\n", n); err != nil {
				return
			}
			time.Sleep(lineInterval)
		}
	}()
	_ = c.conn.SetReadDeadline(leave)
	for {
		line, err := c.reader.ReadString('\n')
		if strings.HasPrefix(line, "MOVE") {
			c.world.logf("client    %s is moved", c.label)
			return endMoved
		}
		var timeout net.Error
		switch {
		case err == nil:
		case errors.As(err, &timeout) && timeout.Timeout():
			return endLeft
		case errors.Is(err, io.EOF):
			c.world.logf("client    %s is closed without MOVE", c.label)
			return endClosed
		default:
			c.world.logf("client    %s is reset: %v", c.label, err)
			return endReset
		}
	}
}
