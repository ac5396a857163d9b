package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// maxLineLength is the longest line of the protocol.
const maxLineLength = 4096

// idAndKey is an OPEN line up to its parameters.
const idAndKey = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 "

// manyFields returns an OPEN line that is as long as a line may be and consists of short parameters.
func manyFields() string {
	const field = ",a=b"
	line := openRequest("")
	return line + strings.Repeat(field, (maxLineLength-len(line)-len("\r\n"))/len(field))
}

// crowd is many clients that send the same at once, again and again until it stops, each on a new connection.
type crowd struct {
	stop    chan struct{}
	clients sync.WaitGroup
}

// start starts clients of a relay. serve drives one connection, which is then closed.
func (c *crowd) start(address string, clients int, serve func(connection net.Conn)) {
	c.stop = make(chan struct{})
	for range clients {
		c.clients.Go(func() {
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				connection, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				_ = connection.SetDeadline(time.Now().Add(testTimeout))
				serve(connection)
				_ = connection.Close()
			}
		})
	}
}

// end stops the clients.
func (c *crowd) end() {
	close(c.stop)
	c.clients.Wait()
}

// sendSlowly sends the first half of a text in small parts and keeps the connection until the relay closes it.
func sendSlowly(connection net.Conn, text string) {
	for part := range strings.SplitSeq(text[:len(text)/2], ",") {
		if _, err := io.WriteString(connection, part+","); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, _ = io.Copy(io.Discard, connection)
}

// sendAtOnce sends a text and reads the answer.
func sendAtOnce(connection net.Conn, text string) {
	_, _ = io.WriteString(connection, text)
	_, _ = io.Copy(io.Discard, connection)
}

// expectWithinMemory runs a crowd of bad clients for a while and fails the test if the process passes its memory limit meanwhile.
func (process *relayProcess) expectWithinMemory(memoryMB, clients int, duration time.Duration, serve func(connection net.Conn)) {
	process.t.Helper()
	bad := &crowd{}
	bad.start(process.address, clients, serve)
	<-time.After(duration)
	bad.end()
	peak := process.peakMemoryKB()
	process.t.Logf("peak memory %d KiB", peak)
	if !raceEnabled && peak > memoryMB<<10 {
		process.t.Errorf("peak memory of the relay is %d KiB, want %d at most", peak, memoryMB<<10)
	}
}

// fillWithSessions opens sessions until one is not served, each with half of a line under way to the backend, and returns
// how many are open.
func (process *relayProcess) fillWithSessions(limit int) (opened int) {
	process.t.Helper()
	for range limit {
		c := process.dial()
		c.send(openRequest(""))
		answer, err := c.reader.ReadString('\n')
		if err != nil {
			process.t.Fatal(err)
		}
		if !strings.HasPrefix(answer, "UP") {
			break
		}
		_, _ = io.WriteString(c, strings.Repeat("y", maxLineLength-len("\r\n")))
		opened++
	}
	return opened
}

// Guards against a relay that is killed for memory: hundreds of clients at once write slowly, stop in the middle of the longest
// line, or send lines of very many short fields, while sessions fill the limit.
func TestServe_CrowdsOfBadClientsStayWithinMemoryLimit(t *testing.T) {
	const memoryMB, clients = 32, 600
	longest := manyFields() // made once: request IDs are counted without a lock
	for name, serve := range map[string]func(net.Conn){
		"slow":            func(c net.Conn) { sendSlowly(c, longest) },
		"half a line":     func(c net.Conn) { sendAtOnce(c, longest[:maxLineLength/2]) },
		"many parameters": func(c net.Conn) { sendAtOnce(c, longest+"\r\n") },
		"many commas":     func(c net.Conn) { sendAtOnce(c, idAndKey+strings.Repeat(",", maxLineLength-64)+"\r\n") },
		"many spaces":     func(c net.Conn) { sendAtOnce(c, idAndKey+strings.Repeat("x ", maxLineLength/2-32)+"\r\n") },
		"too long":        func(c net.Conn) { sendAtOnce(c, strings.Repeat("k", 16*maxLineLength)) },
	} {
		t.Run(name, func(t *testing.T) {
			process, _, _ := startWithBackends(t, processOptions{sockets: 1024, memoryMB: memoryMB}, &fake.Backend{}, &fake.Backend{})
			opened := process.fillWithSessions(1024)
			process.expectWithinMemory(memoryMB, clients, 2*time.Second, serve)
			if opened < 100 {
				t.Errorf("%d sessions were open, want at least 100", opened)
			}
		})
	}
}

// Guards against two processes of a relay that each fill the whole memory limit with sessions during a hot restart.
func TestHotRestart_SessionsOfBothProcessesShareMemoryLimit(t *testing.T) {
	const memoryMB, sockets = 32, 4096
	sequence := newRestartSequence(t, processOptions{sockets: sockets, memoryMB: memoryMB})
	predecessor := sequence.startNext()
	alone := predecessor.fillWithSessions(sockets)
	successor := sequence.startNext()
	added := successor.fillWithSessions(sockets)
	if added > 1 { // a process admits one session at any limit
		t.Errorf("%d sessions in the successor beside %d in the predecessor, which alone admits no more", added, alone)
	}
}
