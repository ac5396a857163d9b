package main

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

func TestServe_AnswersMalformedInputOnce(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	first := openRequest("")
	session := process.openSession(first)
	for name, line := range map[string]string{
		"no protocol":                 "GET / HTTP/1.1",
		"unknown class":               strings.Replace(openRequest(""), "chat", "cat", 1),
		"timeout with a unit":         strings.Replace(openRequest(""), "d=2000", "d=2s", 1),
		"id not hexadecimal":          "OPEN xyz 7f3a9c21e0b4d655 c=chat,d=2000",
		"no timeout":                  strings.Replace(openRequest(""), ",d=2000", "", 1),
		"overlong line":               strings.Repeat("x", 5000),
		"duplicate id":                first,
		"exponent":                    strings.Replace(openRequest(""), "2000", "2e3", 1),
		"duplicate field":             openRequest(",d=2000"),
		"mid outside pass mode":       openRequest(",mid=1"),
		"control byte":                openRequest(",x=\x07"),
		"reconnect outside pass mode": openRequest(",at=s-0"),
		"bare LF":                     openRequest("") + "\nPING",
		"negative timeout":            strings.Replace(openRequest(""), "2000", "-5", 1),
		"empty line":                  "",
	} {
		t.Run(name, func(t *testing.T) {
			c := process.dial()
			c.t = t
			c.send(line)
			c.expect("ERR")
			c.expectClosed()
		})
	}
	c := process.dial()
	c.send("PING")
	c.expect("PONG")
	session.send("still")
	session.expect("echo still")
	if n := strings.Count(process.log.String(), `"msg":"protocol error from client"`); n < 15 {
		t.Errorf("%d protocol errors logged, want at least 15", n)
	}
}

func TestServe_IdleConnectionsDoNotBlockClients(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	session := process.openSession(openRequest(""))
	var idle []*client
	for range 300 {
		idle = append(idle, process.dial())
	}
	for range 10 {
		start := time.Now()
		process.openSession(openRequest(""))
		if took := time.Since(start); took > 1500*time.Millisecond {
			t.Errorf("a valid request was answered after %v, want 1.5 s at most", took)
		}
	}
	for _, c := range idle {
		expectRejected(t, c, 3*time.Second)
	}
	session.send("still")
	session.expect("echo still")
}

func TestServe_ClosesConnectionsWithUnboundedInput(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	session := process.openSession(openRequest(""))
	for _, input := range []string{strings.Repeat("k", 64<<10), strings.Repeat("PING\r\n", 8<<10),
		strings.Repeat("frob 1\r\n", 8<<10), "OPEN " + strings.Repeat("\x00\xff", 32<<10)} {
		for range 4 { // up to 60 MB each
			c := process.dial()
			go func() {
				for range 60 << 20 / len(input) {
					if _, err := io.WriteString(c, input); err != nil {
						return
					}
				}
			}()
			if input[0] == 'P' { // PINGs are answered up to a limit
				for range 16 {
					c.expect("PONG")
				}
			}
			expectRejected(t, c, 3*time.Second)
		}
		session.send("still")
		session.expect("echo still")
	}
	if peak := process.peakMemoryKB(); !raceEnabled && peak > 32<<10 {
		t.Errorf("peak memory of the relay is %d KiB, want %d at most", peak, 32<<10)
	}
}

// TestServe_DeliversAnswersToClientThatKeepsSending uses a client with a tiny receive buffer that never stops
// sending, so that its answers wait at the relay. They must arrive before the relay closes the connection: closing at
// once would discard them.
func TestServe_DeliversAnswersToClientThatKeepsSending(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return err
	}}
	connection, err := dialer.Dial("tcp", process.address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	c := &client{t, connection.(*net.TCPConn), bufio.NewReader(connection)}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // less than the time for which the relay waits
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("PING\r\n", 1<<10))
	}
	if netErr := net.Error(nil); !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("closed with %v before the answers could arrive, instead of a write timeout", err)
	}
	for range 16 {
		c.expect("PONG")
	}
	c.expect("ERR")
	process.openSession(openRequest(""))
}

func TestServe_RejectsInputBeforeAnswer(t *testing.T) {
	backend := &fake.Backend{Answer: func(open string) []string { return nil }}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	c := process.dial()
	c.send(openRequest("") + "\r\n" + openRequest("")) // two requests in one write
	expectRejected(t, c, 3*time.Second)
	if n := len(backend.OpenLines()); n != 0 {
		t.Errorf("%d requests reached a backend", n)
	}
	c = process.dial()
	c.send(openRequest(""))
	waitFor(t, "the request reaches the backend", func() bool { return len(backend.OpenLines()) > 0 })
	start := time.Now()
	c.send("more")
	c.expect("ERR")
	if took := time.Since(start); took > time.Second {
		t.Errorf("rejected after %v", took)
	}
	c.expectClosed()
}

func TestServe_AnswersIncompleteCommand(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{}, &fake.Backend{})
	c := process.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	c.expect("ERR")
	c.expectClosed()
	c = process.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	expectRejected(t, c, 3*time.Second)
}

// TestServe_FloodOfMalformedInputDoesNotBlockClients runs a hundred clients that reconnect as soon as they are
// rejected: valid requests are answered meanwhile.
func TestServe_FloodOfMalformedInputDoesNotBlockClients(t *testing.T) {
	process, _, _ := startWithBackends(t, processOptions{sockets: 256, memoryMB: 32}, &fake.Backend{})
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
				connection, err := net.Dial("tcp", process.address)
				if err != nil {
					continue
				}
				_ = connection.SetDeadline(time.Now().Add(testTimeout))
				_, _ = io.WriteString(connection, []string{"frob\r\n", "OPEN 1 2 c=cat,d=1\r\n", "OPEN \x00"}[i%3])
				_, _ = io.ReadAll(connection)
				_ = connection.Close()
			}
		}()
	}
	for range 20 {
		start := time.Now()
		process.openSession(openRequest(""))
		if took := time.Since(start); took > 1500*time.Millisecond {
			t.Errorf("a valid request was answered after %v, want 1.5 s at most", took)
		}
	}
	close(stop)
	flood.Wait()
}

func TestServe_DuplicateIDDoesNotAffectItsSession(t *testing.T) {
	backend := &fake.Backend{}
	process, _, _ := startWithBackends(t, processOptions{}, backend)
	line := openRequest("")
	session := process.openSession(line)
	for range 3 {
		c := process.dial()
		c.send(strings.Replace(line, "7f3a9c21e0b4d655", "00000000e0b4d655", 1))
		c.expect("ERR")
		c.expectClosed()
		session.send("still")
		session.expect("echo still")
	}
	if n := len(backend.OpenLines()); n != 1 {
		t.Errorf("%d requests reached the backend", n)
	}
}
