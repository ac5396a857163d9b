package standin

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"strings"
	"time"
)

// Client is one connection to a relay.
type Client struct {
	ID     string
	Conn   *net.TCPConn
	Reader *bufio.Reader
	// Answer is the first line that the relay sent, without its line end; empty: the connection ended without one, or none
	// came in time.
	Answer string
	Err    error

	record *Record
}

// NewID returns an id for a request.
func NewID() string { return randomHex() }

// randomHex returns 16 hexadecimal digits.
func randomHex() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Connect opens a connection and sends an OPEN line of a class; it waits for the answer until half a second after the client's
// time is up.
func Connect(record *Record, relay, class string, patience time.Duration, more string) *Client {
	return ConnectAs(record, relay, randomHex(), class, patience, more)
}

// ConnectAs is Connect with a given id.
func ConnectAs(record *Record, relay, id, class string, patience time.Duration, more string) *Client {
	c := &Client{ID: id, record: record}
	conn, err := net.DialTimeout("tcp", relay, time.Second)
	if err != nil {
		c.Err = err
		record.Printf("client  %s cannot connect: %v", c.ID, err)
		return c
	}
	c.Conn, c.Reader = conn.(*net.TCPConn), bufio.NewReader(conn)
	line := fmt.Sprintf("OPEN %s %s c=%s,d=%d%s", c.ID, randomHex(), class, patience.Milliseconds(), more)
	record.Printf("sent    %s", line)
	if _, c.Err = fmt.Fprintf(conn, "%s\r\n", line); c.Err != nil {
		return c
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience + 500*time.Millisecond))
	answer, err := c.Reader.ReadString('\n')
	c.Answer, c.Err = strings.TrimRight(answer, "\r\n"), err
	_ = conn.SetReadDeadline(time.Time{})
	record.Printf("answer  %s: %q %v", c.ID, c.Answer, errText(err))
	return c
}

// Up reports whether the connection was served.
func (c *Client) Up() bool { return strings.HasPrefix(c.Answer, "UP") }

// Exchange sends a line and reads one.
func (c *Client) Exchange(line string, wait time.Duration) (answer string, err error) {
	c.record.Printf("sent    %s: %s", c.ID, line)
	if _, err := fmt.Fprintf(c.Conn, "%s\r\n", line); err != nil {
		return "", err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(wait))
	answer, err = c.Reader.ReadString('\n')
	answer = strings.TrimRight(answer, "\r\n")
	c.record.Printf("answer  %s: %q %s", c.ID, answer, errText(err))
	return answer, err
}

// Close closes the connection.
func (c *Client) Close() {
	if c.Conn != nil {
		_ = c.Conn.Close()
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
