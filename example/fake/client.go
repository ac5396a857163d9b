package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	sessionTimeout = 1500 * time.Millisecond // for the client to get its session
	reconnectDelay = 200 * time.Millisecond  // after MOVE
)

// client is one client of a relay.
type client struct {
	relay, key, class string
	out               io.Writer // gets the lines that the relay sends
}

// run opens a session and sends the lines of in. After MOVE it reconnects, as clients do.
func (c *client) run(in io.Reader) error {
	typed := scanLines(in)
	for options := ""; ; options = ",again=1" {
		moved, err := c.session(typed, options)
		if err != nil || !moved {
			return err
		}
		time.Sleep(reconnectDelay)
	}
}

// session runs one connection and reports whether it ended with MOVE.
func (c *client) session(typed <-chan string, options string) (moved bool, err error) {
	conn, err := net.Dial("tcp", c.relay)
	if err != nil {
		return false, err
	}
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails
	fmt.Fprintf(conn, "OPEN %s %s c=%s,d=%d%s\r\n", hex.EncodeToString(id[:]), c.key, c.class, sessionTimeout.Milliseconds(), options)
	received := scanLines(conn)
	moved, err = c.exchange(conn, typed, received)
	_ = conn.Close()
	for range received { // lets the goroutine of scanLines end
	}
	return moved, err
}

// exchange sends typed lines and prints received ones, until the relay ends the connection or the input ends.
func (c *client) exchange(conn net.Conn, typed, received <-chan string) (moved bool, err error) {
	var sendable <-chan string // nil until OPEN is answered: the protocol requires the client to wait
	for {
		select {
		case line, ok := <-sendable:
			if !ok {
				return false, nil
			}
			if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
				return false, err
			}
		case line, ok := <-received:
			if !ok {
				return moved, nil
			}
			fmt.Fprintln(c.out, line)
			sendable = typed
			moved = moved || line == "MOVE"
		}
	}
}

// scanLines sends the lines of in to a channel, which it closes after the last one.
func scanLines(in io.Reader) <-chan string {
	lines := make(chan string)
	go func() {
		defer close(lines)
		for scanner := bufio.NewScanner(in); scanner.Scan(); {
			lines <- scanner.Text()
		}
	}()
	return lines
}
