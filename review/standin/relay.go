package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// runCommand is the command of the deploy file that starts one relay.
const runCommand = "exec bin/aspenbarrow"

// Relay is one relay's process.
type Relay struct {
	Name, Listen, Management string

	record *Record
	cmd    *exec.Cmd
	ended  chan struct{}
}

// Config is the platform's configuration of a relay, in the form of the deploy page.
type Config struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Management string          `json:"management,omitempty"`
	Seed       string          `json:"seed"`
	Limits     map[string]any  `json:"limits"`
	Known      *List           `json:"known,omitempty"`
	Settings   json.RawMessage `json:"settings"`
}

// NewConfig returns the configuration of a relay with the limits of the operators' days.
func NewConfig(name, listen, discovery string, settings map[string]any) Config {
	text, err := json.Marshal(settings)
	if err != nil {
		panic(err) // the settings are a case's own, of plain values
	}
	return Config{Name: name, Listen: listen, Discovery: discovery, Seed: randomHex(),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, Settings: text}
}

// Write writes the configuration to a file.
func (c Config) Write(path string) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// StartRelay starts a relay by the deploy file's command, from the repository's root, and tells it what the platform tells: by the
// environment and the configuration file. dir is its $TMPDIR.
func StartRelay(record *Record, root, dir, configPath string, config Config) (*Relay, error) {
	r := &Relay{Name: config.Name, Listen: config.Listen, Management: config.Management, record: record, ended: make(chan struct{})}
	logFile, err := os.OpenFile(filepath.Join(dir, config.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	r.cmd = exec.Command("/bin/sh", "-c", runCommand)
	r.cmd.Dir, r.cmd.Stdout, r.cmd.Stderr = root, logFile, logFile
	r.cmd.Env = append(os.Environ(), "PROXY_NAME="+config.Name, "PROXY_LISTEN="+config.Listen, "PROXY_DISCOVERY="+config.Discovery,
		"PROXY_MANAGEMENT="+config.Management, "PROXY_CONFIG="+configPath, "TMPDIR="+dir)
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	record.Printf("start   relay %s, process %d, discovery %s", config.Name, r.cmd.Process.Pid, config.Discovery)
	go func() {
		err := r.cmd.Wait()
		record.Printf("end     relay %s, process %d: %s", r.Name, r.cmd.Process.Pid, errText(err))
		close(r.ended)
	}()
	return r, nil
}

// Signal sends a signal to the process.
func (r *Relay) Signal(signal syscall.Signal) {
	r.record.Printf("signal  relay %s, process %d: %v", r.Name, r.cmd.Process.Pid, signal)
	_ = r.cmd.Process.Signal(signal)
}

// Kill ends the process and waits for its end.
func (r *Relay) Kill() {
	select {
	case <-r.ended:
		return
	default:
	}
	r.Signal(syscall.SIGKILL)
	<-r.ended
}

// Ended is closed when the process has ended.
func (r *Relay) Ended() <-chan struct{} { return r.ended }

// AwaitReady waits until the relay answers PING with PONG, as the front does.
func (r *Relay) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, err := ask(r.Listen, "PING\r\n"); err == nil && answer == "PONG" {
			r.record.Printf("ready   relay %s", r.Name)
			return nil
		}
	}
	return fmt.Errorf("relay %s has not answered PING with PONG within %v", r.Name, limit)
}

// Manage sends a call to the relay's second address and returns the first line of the answer.
func (r *Relay) Manage(call string) (string, error) {
	answer, err := ask(r.Management, call+"\r\n")
	r.record.Printf("manage  relay %s: %s: %q %s", r.Name, call, answer, errText(err))
	return answer, err
}

// ask sends a line and returns the first line of the answer.
func ask(address, line string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprint(conn, line); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimRight(answer, "\r\n"), err
}

// Stats fetches the relay's figures.
func (r *Relay) Stats() (map[string]float64, error) {
	conn, err := net.DialTimeout("tcp", r.Management, time.Second)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprint(conn, "STATS\r\n"); err != nil {
		return nil, err
	}
	figures := map[string]float64{}
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if lines.Text() == "EOT" {
			return figures, nil
		}
		name, value, _ := strings.Cut(lines.Text(), "=")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			figures[name] = number
		}
	}
	return nil, fmt.Errorf("relay %s has not finished its figures", r.Name)
}
