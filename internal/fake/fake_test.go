package fake

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// connect opens a connection to a backend, which is closed at the end of the test.
func connect(t *testing.T, b *Backend) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

func listen(t *testing.T, b *Backend) {
	t.Helper()
	if err := b.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
}

// exchange sends a line and returns the next line that it receives.
func exchange(t *testing.T, conn net.Conn, in *bufio.Reader, line string) string {
	t.Helper()
	if _, err := io.WriteString(conn, line+"\r\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := in.ReadString('\n')
	if err != nil {
		t.Fatalf("after %q: %v", line, err)
	}
	return strings.TrimRight(answer, "\r\n")
}

func TestBackend_AnswersHealthChecksAndEchoesSessions(t *testing.T) {
	b := &Backend{LoadReport: "x0=0.1"}
	listen(t, b)
	conn, in := connect(t, b)
	for _, tc := range []struct{ line, want string }{
		{"PING", "PONG"}, {"STATS", "PONG x0=0.1"}, {"OPEN 7 8 c=chat", "UP 7"}, {"PING", "echo PING"}, {"OPEN 9 9 c=chat", "echo OPEN 9 9 c=chat"},
	} {
		if got := exchange(t, conn, in, tc.line); got != tc.want {
			t.Errorf("%q is answered %q, want %q", tc.line, got, tc.want)
		}
	}
	if lines := b.OpenLines(); len(lines) != 1 || lines[0] != "OPEN 7 8 c=chat" {
		t.Errorf("OPEN lines %q", lines)
	}
	b.Broadcast("MOVE")
	if line, err := in.ReadString('\n'); err != nil || line != "MOVE\r\n" {
		t.Errorf("broadcast: %q, %v", line, err)
	}
}

func TestBackend_EndsAndResetsConnections(t *testing.T) {
	for _, tc := range []struct {
		name, answer string
		want         error
	}{{"end", EndConnection, nil}, {"reset", ResetConnection, syscall.ECONNRESET}} {
		t.Run(tc.name, func(t *testing.T) {
			b := &Backend{Answer: func(string) []string { return []string{"BUSY", tc.answer} }}
			listen(t, b)
			conn, in := connect(t, b)
			if _, err := io.WriteString(conn, "OPEN 1 1 c=chat\r\n"); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(in); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}

func TestBackend_StopRespondingKeepsConnectionsOpen(t *testing.T) {
	b := &Backend{}
	listen(t, b)
	conn, in := connect(t, b)
	if got := exchange(t, conn, in, "PING"); got != "PONG" {
		t.Fatalf("PING is answered %q", got)
	}
	b.StopResponding()
	if _, err := io.WriteString(conn, "PING\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if line, err := in.ReadString('\n'); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("after StopResponding: %q, %v; want a timeout", line, err)
	}
}

func TestEncodeList_MatchesPublishedForm(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints []Endpoint
		want      string
	}{
		{"empty", nil, `{"full":true,"servers":[],"version":3}`},
		{"one", []Endpoint{{ID: "s-0", Addr: "127.0.0.1:1", Zone: "east", Kind: "small", Cell: 2, State: "ready", Weight: 1.5, StartedMS: 9}},
			`{"full":true,"servers":[{"id":"s-0","addr":"127.0.0.1:1","zone":"east","kind":"small","cell":2,"state":"ready","weight":1.5,"started_ms":9}],"version":3}`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := string(EncodeList(3, tc.endpoints)); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

func TestDiscovery_AnswersWhenListChanges(t *testing.T) {
	var d Discovery
	if err := d.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	get := func(query string) string {
		response, err := http.Get("http://" + d.Addr() + "/catalog/members" + query)
		if err != nil {
			t.Error(err)
			return ""
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil {
			t.Error(err)
		}
		return string(body)
	}
	if got := get(""); got != `{"full":true,"servers":[],"version":1}` {
		t.Errorf("first list %s", got)
	}
	answer := make(chan string)
	go func() { answer <- get("?index=1&wait=5000") }()
	for d.WaitingCalls() == 0 {
		time.Sleep(time.Millisecond)
	}
	d.SetVersion(41)
	if got := <-answer; got != `{"full":true,"servers":[],"version":41}` {
		t.Errorf("after the change %s", got)
	}
	d.SetResponse("broken")
	if got := get(""); got != "broken" {
		t.Errorf("fixed response %q", got)
	}
}
