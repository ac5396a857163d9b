// Command cases plays one case of the review: it starts relays as separate processes with stand-ins around them, brings about one
// disruption, and judges what clients, servers and the platform have seen. It exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment it plays the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"aspenbarrow/review/standin"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// socketSlack is how much longer each time limit of the pages is on sockets.
const socketSlack = 50 * time.Millisecond

// bed is what a case plays with.
type bed struct {
	record  *standin.Record
	root    string // the repository's
	dir     string // for temporary files
	trouble bool
	broken  []string // how the rule was broken

	mu      sync.Mutex
	closers []func() // what is done at the end, the last first
}

// cases are the cases by name.
var cases = map[string]func(*bed) error{
	"added-class":     addedClass,
	"crowded-upgrade": crowdedUpgrade,
	"endless-answer":  endlessAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and writes its record into a folder.
func play(name, folder string) (code int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b := &bed{record: standin.NewRecord(), root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	b.record.Printf("case    %s, disruption %t", name, b.trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan error, 1)
	go func() { result <- cases[name](b) }()
	select {
	case err = <-result:
	case received := <-stopped:
		err = fmt.Errorf("stopped by signal: %v", received)
	case <-time.After(timeLimit):
		err = fmt.Errorf("not finished within %v", timeLimit)
	}
	b.close()
	code = b.verdict(err)
	if err := b.record.Write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	}
	_ = os.RemoveAll(dir)
	return code
}

// verdict records and prints the result.
func (b *bed) verdict(err error) int {
	text, code := "the rule held", exitHeld
	switch {
	case err != nil:
		text, code = fmt.Sprintf("could not run: %v", err), exitNotRun
	case len(b.broken) > 0:
		text, code = fmt.Sprintf("the rule was broken %d times, first: %s", len(b.broken), b.broken[0]), exitBroken
	}
	b.record.Printf("result  %s", text)
	fmt.Println(text)
	return code
}

// breaks records a break of the rule.
func (b *bed) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.record.Printf("BROKEN  %s", text)
	b.broken = append(b.broken, text)
}

// onClose has something done at the end, the last first.
func (b *bed) onClose(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closers = append(b.closers, f)
}

func (b *bed) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
	b.closers = nil
}

// until waits until a time of the record's clock.
func (b *bed) until(t time.Duration) { time.Sleep(t - b.record.Now()) }

// backends starts backends named s-0, s-1 ... and returns them with their entries in discovery's list.
func (b *bed) backends(n int, change func(*standin.Backend)) ([]*standin.Backend, []standin.Server, error) {
	var backends []*standin.Backend
	var servers []standin.Server
	for i := range n {
		backend := &standin.Backend{Name: fmt.Sprintf("s-%d", i)}
		if change != nil {
			change(backend)
		}
		if err := backend.Listen(b.record); err != nil {
			return nil, nil, err
		}
		b.onClose(backend.Close)
		backends = append(backends, backend)
		servers = append(servers, standin.Server{ID: backend.Name, Addr: backend.Addr(), Zone: "fukuoka-dc", Kind: "mid-2c", Cell: i,
			State: "ready", Weight: 1})
	}
	return backends, servers, nil
}

// agent starts a discovery agent.
func (b *bed) agent(name string, latency time.Duration, version int, servers []standin.Server) (*standin.Discovery, error) {
	agent := &standin.Discovery{Name: name, Latency: latency}
	if err := agent.Listen(b.record, version, servers...); err != nil {
		return nil, err
	}
	b.onClose(agent.Close)
	return agent, nil
}

// relay starts a relay with a configuration.
func (b *bed) relay(config standin.Config) (*standin.Relay, string, error) {
	path := filepath.Join(b.dir, config.Name+".json")
	if err := config.Write(path); err != nil {
		return nil, "", err
	}
	relay, err := standin.StartRelay(b.record, b.root, b.dir, path, config)
	if err != nil {
		return nil, "", err
	}
	b.onClose(relay.Kill)
	return relay, path, nil
}

// class returns a class of the settings.
func class(name, effect string, onTimeMS, giveUpMS int, worth float64) map[string]any {
	return map[string]any{"name": name, "effect": effect, "dedup-scope": "all", "dedup-window-ms": 5000, "on-time-ms": onTimeMS,
		"give-up-ms": giveUpMS, "late-value": 0, "stream": true, "worth": worth}
}

// signingClasses returns the classes of the signing co-operative; submit is the effect of image-submit.
func signingClasses(submit string) []map[string]any {
	return []map[string]any{
		class("status-watch", "read_like", 800, 3200, 1),
		class("image-submit", submit, 500, 2000, 3),
		class("sig-fetch", "read_like", 300, 1800, 2),
	}
}

// signingSettings returns the settings of the signing co-operative as the page on the wire shows them, for a single relay that sends no
// datagrams.
func signingSettings(classes []map[string]any) map[string]any {
	return map[string]any{
		"azs": []string{"fukuoka-dc", "kumamoto-dc"}, "kinds": []string{"fast-2c", "mid-2c", "slow-2c"},
		"me": 0, "n-instances": 1, "tier": 0, "zone": 0, "tick-ms": 4,
		"classes": classes, "customers": []string{}, "layers": []string{"queue-front"},
		"clients": map[string]any{"marks-retry": true},
		"family":  "conn",
		"family-info": map[string]any{"groups": true, "message-aim-ms": slices.Repeat([]int{60}, len(classes)), "mode": "pass", "park-ms": 4500,
			"tells-delay": true, "tells-load": false, "tenant-quota-connections": []int{}},
		"limits": map[string]any{"cancelling": true, "cpu-us-per-request": 0, "cpu-us-per-s": 800000, "dial-timeout-ms": 250,
			"idle-close-ms": 5000, "max-open": 1000000, "max-retry-after-ms": 1500, "peers": false, "probes": true, "retry-after": true,
			"second-copies": false, "streams-per-conn": 1048576, "try-limit": 4},
		"over-share-worth": 0.1,
		"registry-mode":    "pushed",
		"rules": map[string]any{"answer-slack-ms": 16, "ask-every-ms": 10000, "cold-from": 0.31, "fall-ms": 3000, "fall-multiple": 2.5,
			"stop-sending-within-ms": 250, "warm-up-ms": 8900},
		"stats":   map[string]any{"fields": []string{"utilization", "errors_per_s", "x0"}, "how": "on_probe"},
		"weights": "nominal", "worth-by": "request",
	}
}

// managedRelay starts a relay with a second address, for the signing co-operative, and waits until it is ready.
func (b *bed) managedRelay(agent *standin.Discovery, classes []map[string]any) (*standin.Relay, standin.Config, string, error) {
	return b.managedRelayWith(agent, signingSettings(classes), 1024)
}

// managedRelayWith is managedRelay with given settings and limit of descriptors.
func (b *bed) managedRelayWith(agent *standin.Discovery, settings map[string]any, sockets int) (*standin.Relay, standin.Config, string, error) {
	config := standin.Config{}
	listen, err := standin.FreeAddress()
	if err != nil {
		return nil, config, "", err
	}
	config = standin.NewConfig("n0", listen, agent.Addr(), settings)
	config.Limits["sockets"] = sockets
	if config.Management, err = standin.FreeAddress(); err != nil {
		return nil, config, "", err
	}
	known := agent.List()
	config.Known = &known
	relay, path, err := b.relay(config)
	if err != nil {
		return nil, config, "", err
	}
	return relay, config, path, relay.AwaitReady(10 * time.Second)
}
