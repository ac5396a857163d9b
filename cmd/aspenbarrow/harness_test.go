package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// The tests start this very binary as the program and speak to it over loopback.
func TestMain(m *testing.M) {
	if os.Getenv("ASPENBARROW_TEST_RUN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const testTimeout = 15 * time.Second // far over what anything here takes

const settingsTemplate = `{"azs": ["east"], "kinds": ["k"], "n-instances": 1, "me": 0, "tick-ms": 4,
"classes": [{"name": "chat", "effect": "read_like", "on-time-ms": 500, "give-up-ms": 2000},
 {"name": "order", "effect": "non_idempotent", "on-time-ms": 500, "give-up-ms": 2000}],
"family-info": {"mode": "MODE", "message-aim-ms": [60, 60], "tells-load": true},
"limits": {"probes": true, "peers": true, "cancelling": true, "retry-after": true, "dial-timeout-ms": 250,
 "max-retry-after-ms": 1500, "try-limit": 4, "idle-close-ms": 5000},
"rules": {"answer-slack-ms": 16, "stop-sending-within-ms": 250, "cold-from": 0.3, "warm-up-ms": 8000,
 "fall-multiple": 2.5, "fall-ms": 3000, "ask-every-ms": 10000},
"stats": {"how": "on_probe", "fields": ["utilization", "x0"]}, "registry-mode": "pushed", "weights": "nominal"}`

// program is one running relay.
type relayProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	configPath string // of its configuration
	address    string
	log        *logBuffer
	exited     chan error
}

type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *logBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *logBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

type processOptions struct {
	discovery      string
	mode           string // of the settings; "proxy" where not said
	sockets        int
	knownEndpoints []fake.Endpoint
	replaceText    [2]string // in the configuration's text
	environment    []string  // beyond what names the file
	memoryMB       int       // MB; 192 where not said

	executable string         // path of another build of the program; the test binary where not said
	extraKeys  map[string]any // keys of the configuration beyond the usual ones, or in place of them
}

// start runs the program and waits until it says where it listens.
func startProcess(t *testing.T, s processOptions) *relayProcess {
	t.Helper()
	p := launchProcess(t, s)
	served := regexp.MustCompile(`"msg":"serving".*"address":"([^"]+)"`)
	for deadline := time.Now().Add(testTimeout); ; {
		if m := served.FindStringSubmatch(p.log.String()); m != nil {
			p.address = m[1]
			return p
		}
		select {
		case err := <-p.exited:
			t.Fatalf("the program ended at its start: %v\n%s", err, p.log)
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(deadline) {
			t.Fatalf("the program does not serve\n%s", p.log)
		}
	}
}

// configure writes a configuration.
func (s processOptions) writeConfig(t *testing.T, path string) {
	t.Helper()
	if s.mode == "" {
		s.mode = "proxy"
	}
	if s.sockets == 0 {
		s.sockets = 1024
	}
	if s.memoryMB == 0 {
		s.memoryMB = 192
	}
	config := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": s.discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:9"}, "peers_all": "127.0.0.1:9",
		"known":    json.RawMessage(fake.EncodeList(1, s.knownEndpoints)),
		"settings": json.RawMessage(strings.Replace(settingsTemplate, "MODE", s.mode, 1))}
	maps.Copy(config, s.extraKeys)
	text, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if s.replaceText[0] != "" {
		if !bytes.Contains(text, []byte(s.replaceText[0])) {
			t.Fatalf("%s is not in the configuration", s.replaceText[0])
		}
		text = bytes.Replace(text, []byte(s.replaceText[0]), []byte(s.replaceText[1]), 1)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func launchProcess(t *testing.T, s processOptions) *relayProcess {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	s.writeConfig(t, path)
	if s.executable == "" {
		self, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		s.executable = self
	}
	p := &relayProcess{t: t, configPath: path, cmd: exec.Command(s.executable), log: &logBuffer{}, exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "ASPENBARROW_TEST_RUN=1", "PROXY_CONFIG="+path,
		"PROXY_NAME=", "PROXY_LISTEN=", "PROXY_DISCOVERY=")
	p.cmd.Env = append(p.cmd.Env, s.environment...)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if strings.Contains(p.log.String(), "DATA RACE") || strings.Contains(p.log.String(), `"msg":"panic`) {
			t.Error("the program's log tells of a race or a panic")
		}
		if t.Failed() {
			t.Logf("the program's log:\n%s", p.log)
		}
	})
	return p
}

// reload replaces the configuration and tells the program so.
func (p *relayProcess) reloadConfig(s processOptions) {
	p.t.Helper()
	s.writeConfig(p.t, p.configPath)
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		p.t.Fatal(err)
	}
}

// logs waits until the program's log holds a text so many times.
func (p *relayProcess) waitForLog(text string, times int) {
	p.t.Helper()
	waitFor(p.t, fmt.Sprintf("%q is logged %d times", text, times), func() bool {
		return strings.Count(p.log.String(), text) >= times
	})
}

// until waits for a condition.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !ok(); {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// ended waits for the program's exit.
func (p *relayProcess) waitForExit() error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(testTimeout):
		p.t.Fatal("the program does not end")
		return nil
	}
}

// client is one connection to the relay.
type client struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func (p *relayProcess) dial() *client {
	p.t.Helper()
	c, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{p.t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *client) send(lines ...string) {
	c.t.Helper()
	for _, l := range lines {
		if _, err := io.WriteString(c, l+"\r\n"); err != nil {
			c.t.Fatal(err)
		}
	}
}

func (c *client) expect(want string) {
	c.t.Helper()
	got, err := c.reader.ReadString('\n')
	if err != nil || got != want+"\r\n" {
		c.t.Fatalf("heard %q and %v, want %q", got, err, want)
	}
}

// up dials, opens and hears that its connection stands.
func (p *relayProcess) openSession(line string) *client {
	p.t.Helper()
	c := p.dial()
	c.send(line)
	c.expect("UP " + strings.Fields(line)[1])
	return c
}

// ends checks that the connection ends cleanly with nothing more on it.
func (c *client) expectClosed() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.reader); err != nil || len(rest) != 0 {
		c.t.Fatalf("%q and %v before the end", rest, err)
	}
}

var lastRequestID = uint64(0x9b1f03aa5c7e0000)

func openRequest(more string) string {
	lastRequestID++
	return fmt.Sprintf("OPEN %016x 7f3a9c21e0b4d655 c=chat,d=2000,g=5c0f6e1a2b3d4c59%s", lastRequestID, more)
}

// backends starts fake backends and a discovery that lists them as s-0, s-1, ...
func startBackends(t *testing.T, b ...*fake.Backend) (*fake.Discovery, []fake.Endpoint) {
	t.Helper()
	var list []fake.Endpoint
	for i := range b {
		if b[i].LoadReport == "" {
			b[i].LoadReport = "utilization=0.2,x0=0.3"
		}
		if err := b[i].Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b[i].Close)
		list = append(list, fake.Endpoint{ID: "s-" + strconv.Itoa(i), Addr: b[i].Addr(), Zone: "east", Kind: "k",
			State: "ready", Weight: 1})
	}
	d := &fake.Discovery{}
	if err := d.Listen("127.0.0.1:0", list...); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d, list
}

// serving starts a relay with backends and waits until it is ready.
func startWithBackends(t *testing.T, s processOptions, b ...*fake.Backend) (*relayProcess, *fake.Discovery, []fake.Endpoint) {
	t.Helper()
	d, list := startBackends(t, b...)
	s.discovery, s.knownEndpoints = d.Addr(), list
	p := startProcess(t, s)
	return p, d, list
}

// raw starts a backend whose connections, once UP, are the test's, and a relay in front of it.
func startWithRawBackend(t *testing.T, stands func(c net.Conn, in *bufio.Reader)) *relayProcess {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				if first, _ := in.ReadString('\n'); !strings.HasPrefix(first, "OPEN") {
					_, _ = io.WriteString(c, "PONG utilization=0.1,x0=0.1\r\n")
					return
				}
				_, _ = io.WriteString(c, "UP here\r\n")
				stands(c, in)
			}()
		}
	}()
	d := &fake.Discovery{}
	list := fake.Endpoint{ID: "s-0", Addr: l.Addr().String(), Zone: "east", State: "ready", Weight: 1}
	if err := d.Listen("127.0.0.1:0", list); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return startProcess(t, processOptions{discovery: d.Addr(), knownEndpoints: []fake.Endpoint{list}})
}
