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
	p, _, _ := serving(t, setup{}, &fake.Backend{})
	held := p.dial()
	first := open("")
	held.say(first)
	held.hear("UP " + strings.Fields(first)[1])
	for name, line := range map[string]string{
		"no protocol": "GET / HTTP/1.1", "unknown class": strings.Replace(open(""), "chat", "cat", 1),
		"bad number": strings.Replace(open(""), "d=2000", "d=2s", 1), "bad id": "OPEN xyz 7f3a9c21e0b4d655 c=chat,d=2000",
		"no patience": strings.Replace(open(""), ",d=2000", "", 1), "overlong": strings.Repeat("x", 5000), "duplicate id": first,
		"exponent": strings.Replace(open(""), "2000", "2e3", 1), "twice": open(",d=2000"), "not pass": open(",mid=1"),
		"control byte": open(",x=\x07"), "at later": open(",at=s-0"),
		"bare LF": open("") + "\nPING", "negative patience": strings.Replace(open(""), "2000", "-5", 1), "empty": "",
	} {
		t.Run(name, func(t *testing.T) {
			c := p.dial()
			c.t = t
			c.say(line)
			c.hear("ERR")
			c.ends()
		})
	}
	c := p.dial()
	c.say("PING")
	c.hear("PONG")
	held.say("still")
	held.hear("echo still")
	if n := strings.Count(p.log.String(), `"msg":"bad input"`); n < 15 {
		t.Errorf("%d of 15 logged", n)
	}
}

// turnedAway checks that a bad client hears an error or a close in time, whatever it goes on sending.
func turnedAway(t *testing.T, c *client, within time.Duration) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(within))
	got, err := c.in.ReadString('\n')
	if ne := net.Error(nil); errors.As(err, &ne) && ne.Timeout() {
		t.Errorf("neither an answer nor a close after %v", within)
	} else if err == nil && got != "ERR\r\n" && !strings.HasPrefix(got, "BUSY") {
		t.Errorf("heard %q", got)
	}
}

func TestServe_IdleConnectionsDoNotBlockClients(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	held := p.up(open(""))
	var crowd []*client
	for range 300 {
		crowd = append(crowd, p.dial())
	}
	for range 10 {
		asked := time.Now()
		p.up(open(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	for _, c := range crowd {
		turnedAway(t, c, 3*time.Second)
	}
	held.say("still")
	held.hear("echo still")
}

func TestServe_ClosesConnectionsWithUnboundedInput(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	held := p.up(open(""))
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
					c.hear("PONG")
				}
			}
			turnedAway(t, c, 3*time.Second)
		}
		held.say("still")
		held.hear("echo still")
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
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
	narrow := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) })
		return err
	}}
	conn, err := narrow.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	c := &client{t, conn.(*net.TCPConn), bufio.NewReader(conn)}
	_ = c.SetDeadline(time.Now().Add(patience))
	_ = c.SetWriteDeadline(time.Now().Add(300 * time.Millisecond)) // of the half second that it is owed
	for err == nil {
		_, err = io.WriteString(c, strings.Repeat("PING\r\n", 1<<10))
	}
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		t.Errorf("cut off with %v before it can have heard, not held up", err)
	}
	for range 16 {
		c.hear("PONG")
	}
	c.hear("ERR")
	p.up(open(""))
}

func TestServe_RejectsInputBeforeAnswer(t *testing.T) {
	b := &fake.Backend{Answer: func(open string) []string { return nil }}
	p, _, _ := serving(t, setup{}, b)
	c := p.dial()
	c.say(open("") + "\r\n" + open("")) // both at once
	turnedAway(t, c, 3*time.Second)
	if n := len(b.OpenLines()); n != 0 {
		t.Errorf("%d opens came to a backend", n)
	}
	c = p.dial()
	c.say(open(""))
	until(t, "the open comes to the backend", func() bool { return len(b.OpenLines()) > 0 })
	asked := time.Now()
	c.say("more")
	c.hear("ERR")
	if took := time.Since(asked); took > time.Second {
		t.Errorf("turned away after %v", took)
	}
	c.ends()
}

func TestServe_AnswersIncompleteCommand(t *testing.T) {
	p, _, _ := serving(t, setup{}, &fake.Backend{})
	c := p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	c.hear("ERR")
	c.ends()
	c = p.dial()
	if _, err := io.WriteString(c, "OPEN 9b1f"); err != nil {
		t.Fatal(err)
	}
	turnedAway(t, c, 3*time.Second)
}

// Hundreds come again as soon as they are turned away; usual clients are served all the while.
func TestServe_FloodOfMalformedInputDoesNotBlockClients(t *testing.T) {
	p, _, _ := serving(t, setup{sockets: 256, memory: 32}, &fake.Backend{})
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
				c, err := net.Dial("tcp", p.addr)
				if err != nil {
					continue
				}
				_ = c.SetDeadline(time.Now().Add(patience))
				_, _ = io.WriteString(c, []string{"frob\r\n", "OPEN 1 2 c=cat,d=1\r\n", "OPEN \x00"}[i%3])
				_, _ = io.ReadAll(c)
				_ = c.Close()
			}
		}()
	}
	for range 20 {
		asked := time.Now()
		p.up(open(""))
		if took := time.Since(asked); took > 1500*time.Millisecond {
			t.Errorf("a usual client waited for %v", took)
		}
	}
	close(stop)
	flood.Wait()
}

func TestServe_DuplicateIDDoesNotAffectItsSession(t *testing.T) {
	b := &fake.Backend{}
	p, _, _ := serving(t, setup{}, b)
	line := open("")
	held := p.up(line)
	for range 3 {
		c := p.dial()
		c.say(strings.Replace(line, "7f3a9c21e0b4d655", "00000000e0b4d655", 1))
		c.hear("ERR")
		c.ends()
		held.say("still")
		held.hear("echo still")
	}
	if n := len(b.OpenLines()); n != 1 {
		t.Errorf("%d opens came to the backend", n)
	}
}
