// Package demo shows a relay at work on one machine: the real relay with the example's configuration, fake
// backends and discovery, and a few clients, all on loopback addresses and in one process.
//
// Run prints events as they happen: placements, a drain, migrations, the relay's own drain at the end. The fakes
// do not model load, so the figures do not carry over to real servers.
package demo

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/config"
	"aspenbarrow/internal/fake"
	"aspenbarrow/internal/relay"
)

// configName is the name of the configuration in errors.
const configName = "example/aspenbarrow.toml"

// Options are the configuration and the size of the demonstration.
type Options struct {
	Config   string        // TOML; its addresses are replaced by loopback ones with free ports
	Duration time.Duration // upper bound of the run
	Backends int
	Clients  int // concurrent ones
}

// Result counts what happened.
type Result struct {
	Placed           int // connections that got a backend
	Moved            int // connections that were migrated
	Drained          int // backends that drained
	PlacedAtDraining int // connections placed at a draining backend later than drainNoticeTime after discovery listed it so
}

// demonstration is the state of one run.
type demonstration struct {
	options   Options
	out       io.Writer
	started   time.Time
	discovery fake.Discovery
	endpoints []fake.Endpoint
	relayAddr string

	mu            sync.Mutex
	result        Result
	backendOf     map[int]string // by client
	draining      string         // the draining backend; empty: none
	drainedAt     time.Time      // when discovery first listed one as draining
	relayDraining bool           // from now on, a client that is migrated has no relay to reconnect to
}

// Run runs the demonstration and writes its events to out, until its duration is over or ctx is done. It
// returns an error if the configuration is invalid, a socket cannot be opened or the relay fails.
func Run(ctx context.Context, out io.Writer, options Options) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, options.Duration)
	defer cancel()
	d := &demonstration{options: options, out: &lineWriter{out: out}, started: time.Now(), backendOf: map[int]string{}}
	stop, err := d.startFakes()
	defer stop()
	if err != nil {
		return d.result, err
	}
	env := map[string]string{"PROXY_LISTEN": "127.0.0.1:0", "PROXY_DISCOVERY": d.discovery.Addr()}
	cfg, err := config.Parse(configName, []byte(options.Config), func(name string) string { return env[name] }, false)
	if err != nil {
		return d.result, err
	}
	r, err := relay.New(cfg.Relay, zap.NewNop())
	if err != nil {
		return d.result, err
	}
	d.relayAddr = r.Addr().String()
	err = d.play(ctx, r, cfg.Relay.Settings.ClassNames)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.printf("over: %d connections placed, %d moved, %d backends drained", d.result.Placed, d.result.Moved, d.result.Drained)
	return d.result, err
}

// startFakes starts the backends and discovery. The function that it returns stops those that were started; it
// must be called after an error too.
func (d *demonstration) startFakes() (stop func(), err error) {
	var closers []func()
	stop = func() {
		for _, closeFake := range slices.Backward(closers) {
			closeFake()
		}
	}
	for i := range d.options.Backends {
		name := fmt.Sprintf("s-%d", i)
		b := &fake.Backend{LoadReport: "utilization=0.1,errors_per_s=0,x0=0.1", Answer: func(string) []string { return []string{"UP " + name} }}
		if err := b.Listen("127.0.0.1:0"); err != nil {
			return stop, err
		}
		closers = append(closers, b.Close)
		d.endpoints = append(d.endpoints, fake.Endpoint{ID: name, Addr: b.Addr(), Zone: "east", Kind: "small", State: "ready", Weight: 1})
	}
	if err := d.discovery.Listen("127.0.0.1:0", d.endpoints...); err != nil {
		return stop, err
	}
	closers = append(closers, d.discovery.Close)
	return stop, nil
}

// play runs the relay and its clients through the scenario and returns the relay's error.
func (d *demonstration) play(ctx context.Context, r *relay.Relay, classes []string) error {
	serving, stopRelay := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(serving) }()
	d.printf("a relay on %s with %d fake backends and a fake discovery, all in this process", d.relayAddr, d.options.Backends)

	connected, stopClients := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for i := range d.options.Clients {
		c := client{demonstration: d, number: i, class: classes[i%len(classes)]}
		clients.Go(func() { c.run(connected) })
	}
	d.drainAndRestore(ctx)
	d.mu.Lock()
	d.relayDraining = true
	d.mu.Unlock()
	d.printf("the relay drains: it answers open requests and migrates sessions")
	stopRelay()
	err := <-ended
	stopClients()
	clients.Wait()
	return err
}

// drainAndRestore drains the backend with the most connections for half of the demonstration's duration, and waits
// a sixth of it before and after.
func (d *demonstration) drainAndRestore(ctx context.Context) {
	sixth := d.options.Duration / 6
	if !sleep(ctx, sixth) {
		return
	}
	name, connections := d.chooseBackend()
	d.printf("discovery lists %s, with %d connections, as draining", name, connections)
	d.setState(name, "draining")
	d.mu.Lock()
	d.drainedAt = time.Now()
	d.result.Drained++
	d.mu.Unlock()
	if !sleep(ctx, d.options.Duration/2) {
		return
	}
	d.mu.Lock()
	d.draining = ""
	d.mu.Unlock()
	d.printf("%s is ready again", name)
	d.setState(name, "ready")
	sleep(ctx, sixth)
}

// chooseBackend returns the backend with the most connections and records it as the draining one.
func (d *demonstration) chooseBackend() (name string, connections int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[string]int{}
	for _, backend := range d.backendOf {
		counts[backend]++
	}
	name = d.endpoints[0].ID
	for _, backend := range slices.Sorted(maps.Keys(counts)) {
		if counts[backend] > counts[name] {
			name = backend
		}
	}
	d.draining = name
	return name, counts[name]
}

// setState makes discovery list a backend with a state from now on.
func (d *demonstration) setState(name, state string) {
	for i := range d.endpoints {
		if d.endpoints[i].ID == name {
			d.endpoints[i].State = state
		}
	}
	d.discovery.SetEndpoints(slices.Clone(d.endpoints)...)
}

// printf prints one line with the time since the start.
func (d *demonstration) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// lineWriter serializes the writes of several goroutines; each line is one Write.
type lineWriter struct {
	mu  sync.Mutex
	out io.Writer
}

func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

// sleep reports whether the time passed before ctx was done.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
