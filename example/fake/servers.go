package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"aspenbarrow/internal/fake"
)

const (
	backendCount     = 3
	firstBackendPort = 5101
	discoveryAddr    = "127.0.0.1:8500" // the same as in example/aspenbarrow.toml
)

// servers holds the fake backends and the discovery service that lists them.
type servers struct {
	backends  map[string]*fake.Backend // by name
	endpoints []fake.Endpoint
	discovery fake.Discovery
}

// runServers runs the backends and discovery, and executes the commands in the lines of in until it ends.
func runServers(in io.Reader, out io.Writer) error {
	s := servers{backends: map[string]*fake.Backend{}}
	defer s.closeBackends()
	if err := s.startBackends(); err != nil {
		return err
	}
	if err := s.discovery.Listen(discoveryAddr, s.endpoints...); err != nil {
		return err
	}
	defer s.discovery.Close()
	fmt.Fprintln(out, "backends s-0, s-1, s-2 and discovery are up; commands: drain NAME, ready NAME, silent NAME, say TEXT")
	for lines := bufio.NewScanner(in); lines.Scan(); {
		command, argument, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		s.execute(command, argument, out)
	}
	return nil
}

func (s *servers) startBackends() error {
	for i := range backendCount {
		name := fmt.Sprintf("s-%d", i)
		b := &fake.Backend{
			LoadReport: "utilization=0.2,errors_per_s=0,x0=0.2",
			Answer:     func(string) []string { return []string{"UP " + name} },
		}
		if err := b.Listen(fmt.Sprintf("127.0.0.1:%d", firstBackendPort+i)); err != nil {
			return err
		}
		s.backends[name] = b
		s.endpoints = append(s.endpoints, fake.Endpoint{ID: name, Addr: b.Addr(), Zone: "east", Kind: "small", State: "ready", Weight: 1})
	}
	return nil
}

func (s *servers) closeBackends() {
	for _, b := range s.backends {
		b.Close()
	}
}

// execute executes one command. The argument of every command but "say" is a backend's name.
func (s *servers) execute(command, argument string, out io.Writer) {
	if command == "say" {
		for _, b := range s.backends {
			b.Broadcast(argument)
		}
		return
	}
	b := s.backends[argument]
	if b == nil {
		fmt.Fprintf(out, "unknown command or backend: %q %q\n", command, argument)
		return
	}
	switch command {
	case "silent":
		b.StopResponding()
	case "drain":
		s.setState(argument, "draining")
	case "ready":
		s.setState(argument, "ready")
	}
}

// setState makes discovery list a backend with a state from now on.
func (s *servers) setState(name, state string) {
	for i := range s.endpoints {
		if s.endpoints[i].ID == name {
			s.endpoints[i].State = state
		}
	}
	s.discovery.SetEndpoints(s.endpoints...)
}
