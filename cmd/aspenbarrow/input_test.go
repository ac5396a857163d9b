package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestServe_AnswersMalformedInputOnce(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	held := p.dial()
	first := openRequest("")
	held.send(first)
	held.expect("UP " + strings.Fields(first)[1])
	for name, line := range map[string]string{
		"no protocol": "GET / HTTP/1.1", "unknown class": strings.Replace(openRequest(""), "chat", "cat", 1),
		"bad number": strings.Replace(openRequest(""), "d=2000", "d=2s", 1), "bad id": "OPEN xyz 7f3a9c21e0b4d655 c=chat,d=2000",
		"no patience": strings.Replace(openRequest(""), ",d=2000", "", 1), "overlong": strings.Repeat("x", 5000), "duplicate id": first,
		"exponent": strings.Replace(openRequest(""), "2000", "2e3", 1), "twice": openRequest(",d=2000"), "not pass": openRequest(",mid=1"),
		"control byte": openRequest(",x=\x07"), "at later": openRequest(",at=s-0"),
		"bare LF": openRequest("") + "\nPING", "negative patience": strings.Replace(openRequest(""), "2000", "-5", 1), "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			c := p.dial()
			c.t = t
			c.send(line)
			c.expect("ERR")
			c.expectClosed()
		})
	}
	c := p.dial()
	c.send("PING")
	c.expect("PONG")
	held.send("still")
	held.expect("echo still")
	if n := strings.Count(p.log.String(), `"msg":"bad input"`); n < 15 {
		t.Errorf("%d of 15 logged", n)
	}
}

// turnedAway checks that a bad client hears an error or a close in time, whatever it goes on sending.
func expectRejected(t *testing.T, c *client, within time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	got, err := c.reader.ReadString('\n')
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("neither an answer nor a close after %v", within)
	} else if err == nil && got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
		t.Errorf("heard %q", got)
	}
}

func TestServe_IdleConnectionsDoNotBlockClients(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	held := p.openSession(openRequest(""))
	var crowd []*client
	for range 300 {
		crowd = append(crowd, p.dial())
	}
	for range 10 {
		asked := time.Now()
		p.openSession(openRequest(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	for _, c := range crowd {
		expectRejected(t, c, 3*time.Second)
	}
	held.send("still")
	held.expect("echo still")
}

func TestServe_ClosesConnectionsWithUnboundedInput(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	held := p.openSession(openRequest(""))
	for _, what := range []string{strings.Repeat("k", 64<<10), strings.Repeat("PING\r\n", 8<<10),
		strings.Repeat("frob 1\r\n", 8<<10), "OPEN " + strings.Repeat("\x00\xff", 32<<10)} {
		for range 4 { // 60 MB each, at full speed
			c := p.dial()
			go func() {
				for range 60 << 20 / len(what) {
					if _, err := io.WriteString(c, what); err != nil {
						return
					}
				}
			}()
			if what[0] == 'P' { // those are answered until they are too many
				for range 16 {
					c.expect("PONG")
				}
			}
			expectRejected(t, c, 3*time.Second)
		}
		held.send("still")
		held.expect("echo still")
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Skip("no /proc here")
	}
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if most, _ := strconv.Atoi(string(m[1])); !raceEnabled && most > 32<<10 {
		t.Errorf("the relay held %d KiB", most)
	}
}

// A client's system that has no room yet for what it was told holds that back at the relay. A relay that closes at once,
// since the client never stops sending, takes it back.
func TestServe_DeliversAnswersToClientThatKeepsSending(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	narrow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return err
	}}
	conn, err := narrow.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // of the half second that it is owed
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("PING\r\n", 1<<10))
	}
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		t.Errorf("cut off with %v before it can have heard, not held up", err)
	}
	for range 16 {
		c.expect("PONG")
	}
	c.expect("ERR")
	p.openSession(openRequest(""))
}

func TestServe_RejectsInputBeforeAnswer(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string { return nil }}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	c := p.dial()
	c.send(openRequest("") + "\r\n" + openRequest("")) // both at once
	expectRejected(t, c, 3*time.Second)
	if n := len(b.OpenLines()); n != 0 {
		t.Errorf("%d opens came to a backend", n)
	}
	c = p.dial()
	c.send(openRequest(""))
	waitFor(t, "the open comes to the backend", func() bool { return len(b.OpenLines()) > 0 })
	asked := time.Now()
	c.send("more")
	c.expect("ERR")
	if took := time.Since(asked); took > time.Second {
		t.Errorf("turned away after %v", took)
	}
	c.expectClosed()
}

func TestServe_AnswersIncompleteCommand(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	c := p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	c.expect("ERR")
	c.expectClosed()
	c = p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	expectRejected(t, c, 3*time.Second)
}

// Hundreds come again as soon as they are turned away; usual clients are served all the while.
func TestServe_FloodOfMalformedInputDoesNotBlockClients(t *testing.T) {
	p, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	stop := make(chan struct{})
	var flood sync.WaitGroup
	for i := range 100 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", p.address)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(testTimeout))
				_, _ = io.WriteString(c, []string{"frob\r\n", "OPEN 1 2 c=cat,d=1\r\n", "OPEN \x00"}[i%3])
				_, _ = io.ReadAll(c)
				_ = c.Close()
			}
		}()
	}
	for range 20 {
		asked := time.Now()
		p.openSession(openRequest(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	close(stop)
	flood.Wait()
}

func TestServe_DuplicateIDDoesNotAffectItsSession(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := startWithBackends(t, processOptions{}, b)
	line := openRequest("")
	held := p.openSession(line)
	for range 3 {
		c := p.dial()
		c.send(strings.Replace(line, "7f3a9c21e0b4d655", "00000000e0b4d655", 1))
		c.expect("ERR")
		c.expectClosed()
		held.send("still")
		held.expect("echo still")
	}
	if n := len(b.OpenLines()); n != 1 {
		t.Errorf("%d opens came to the backend", n)
	}
}
