// Package tryout shows a relay at work on one machine: the real relay with the
// example's configuration, toy backends and a toy discovery, and a few clients,
// all on loopback addresses and in one process.
//
// The demonstration prints what happens as it happens and lasts no longer than
// Options.For. Stand-ins model no load, so its figures say nothing of real servers.
package tryout

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/config"
	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/relay"
)

// Options are the size of the demonstration.
type Options struct {
	Config   string        // TOML; its addresses are replaced by loopback ones with free ports
	For      time.Duration // how long it takes, at most
	Backends int           // how many
	Clients  int           // how many at a time
}

// Seen counts what came to pass.
type Seen struct {
	Placed  int // connections that got a backend
	Moved   int // connections that were asked to come again
	Drained int // backends that drained
	After   int // connections that a draining backend got after its drain was told
}

// show is one demonstration as it goes.
type show struct {
	leaving bool // who is moved from now on has nowhere to come to
	out     io.Writer
	began   time.Time
	mu      sync.Mutex
	seen    Seen
	at      map[int]string // clients' backends
	drained string         // the backend that drains; empty: none
	told    time.Time      // since when
	addr    string
}

// lines lets whole lines through, one at a time.
type lines struct {
	mu sync.Mutex
	to io.Writer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.to.Write(p)
}

func (s *show) say(format string, args ...any) {
	fmt.Fprintf(s.out, "%6.2f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// Run plays the demonstration, writing what happens to out, until its time is over or
// ctx is done. It returns an error if the configuration is faulty, a socket cannot be
// opened or the relay ends with one.
func Run(ctx context.Context, out io.Writer, opt Options) (Seen, error) {
	ctx, cancel := context.WithTimeout(ctx, opt.For)
	defer cancel()
	s := &show{out: &lines{to: out}, began: time.Now(), at: map[int]string{}}
	var entries []fake.Endpoint
	for i := range opt.Backends {
		name := fmt.Sprintf("s-%d", i)
		b := &fake.Backend{LoadReport: "utilization=0.1,errors_per_s=0,x0=0.1", Answer: func(string) []string { return []string{"UP " + name} }}
		if err := b.Listen("127.0.0.1:0"); err != nil {
			return s.seen, err
		}
		defer b.Close()
		entries = append(entries, fake.Endpoint{ID: name, Addr: b.Addr(), Zone: "east", Kind: "small", State: "ready", Weight: 1})
	}
	var d fake.Discovery
	if err := d.Listen("127.0.0.1:0", entries...); err != nil {
		return s.seen, err
	}
	defer d.Close()
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": d.Addr()}
	cfg, err := config.Parse("example/aspenbarrow.toml", []byte(opt.Config), func(name string) string { return env[name] }, false)
	if err != nil {
		return s.seen, err
	}
	r, err := relay.New(cfg.Relay, zap.NewNop())
	if err != nil {
		return s.seen, err
	}
	s.addr = r.Addr().String()
	serving, leave := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(serving) }()
	s.say("a relay on %s, %d backends and discovery beside it, all stand-ins in this process", s.addr, opt.Backends)

	clients, goHome := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	classes := cfg.Relay.Settings.ClassNames
	for i := range opt.Clients {
		wg.Go(func() { s.client(clients, i, classes[i%len(classes)]) })
	}
	s.course(ctx, &d, entries, opt)
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.say("the relay is asked to leave: it answers what it owes and has the rest move")
	leave()
	err = <-ended
	goHome()
	wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.say("over: %d connections placed, %d moved, %d backends drained", s.seen.Placed, s.seen.Moved, s.seen.Drained)
	return s.seen, err
}

// course drains the backend that holds most, and takes it back.
func (s *show) course(ctx context.Context, d *fake.Discovery, entries []fake.Endpoint, opt Options) {
	wait := func(t time.Duration) bool {
		timer := time.NewTimer(t)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(opt.For / 6) {
		return
	}
	s.mu.Lock()
	held := map[string]int{}
	for _, b := range s.at {
		held[b]++
	}
	most := entries[0].ID
	for _, b := range slices.Sorted(maps.Keys(held)) {
		if held[b] > held[most] {
			most = b
		}
	}
	s.drained = most
	s.mu.Unlock()
	for i := range entries {
		if entries[i].ID == most {
			entries[i].State = "draining"
		}
	}
	s.say("discovery says that %s, with %d connections, drains", most, held[most])
	d.SetEndpoints(slices.Clone(entries)...)
	s.mu.Lock()
	s.told = time.Now()
	s.seen.Drained++
	s.mu.Unlock()
	if !wait(opt.For / 2) {
		return
	}
	for i := range entries {
		entries[i].State = "ready"
	}
	s.mu.Lock()
	s.drained = ""
	s.mu.Unlock()
	s.say("%s is ready again", most)
	d.SetEndpoints(entries...)
	wait(opt.For / 6)
}

// client holds a connection, says a line now and then, and comes again when it is moved.
func (s *show) client(ctx context.Context, i int, class string) {
	for n := 0; ctx.Err() == nil; n++ {
		err := s.hold(ctx, i, n, class)
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			return
		}
		if err == nil {
			continue
		}
		timer := time.NewTimer(100 * time.Millisecond)
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

var errRefused = errors.New("not served")

func (s *show) hold(ctx context.Context, i, n int, class string) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	asked := time.Now()
	again := ""
	if n > 0 {
		again = ",again=1"
	}
	fmt.Fprintf(conn, "OPEN %08x%08x %016x c=%s,d=1500%s\r\n", i+1, n+1, uint64(i+1)*0x9e3779b97f4a7c15, class, again)
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return err
	}
	name, up := strings.CutPrefix(strings.TrimSpace(line), "UP ")
	if !up {
		s.say("client %d (%s) is answered %s", i, class, strings.TrimSpace(line))
		return errRefused
	}
	s.mu.Lock()
	s.at[i] = name
	s.seen.Placed++
	if name == s.drained && !s.told.IsZero() && asked.After(s.told.Add(300*time.Millisecond)) {
		s.seen.After++
	}
	s.mu.Unlock()
	s.say("client %d (%s) is at %s", i, class, name)
	defer func() {
		s.mu.Lock()
		delete(s.at, i)
		s.mu.Unlock()
	}()
	for {
		if _, err := fmt.Fprintf(conn, "hello %d\r\n", i); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		for {
			line, err := in.ReadString('\n')
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				break
			}
			if err != nil {
				return err
			}
			if strings.TrimSpace(line) == "MOVE" {
				s.mu.Lock()
				s.seen.Moved++
				s.mu.Unlock()
				s.say("client %d is moved off %s", i, name)
				return nil
			}
		}
	}
}
