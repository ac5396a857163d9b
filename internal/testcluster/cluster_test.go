package testcluster

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/simulation"
)

var program string

func TestMain(m *testing.M) { os.Exit(testMain(m)) }

func testMain(m *testing.M) int {
	if p := os.Getenv("TESTCLUSTER_TEST_PROGRAM"); p != "" { // run a cluster that the parent test kills
		_, err := Run(context.Background(), Options{Program: p, Seed: 1, Duration: time.Minute, Fleet: smallCluster(6, 3, 12)})
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	dir, err := os.MkdirTemp("", "fleet-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if program, err = Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// smallCluster returns a cluster small enough for a test; its clients load its backends to 60 percent.
func smallCluster(relays, backends, clients int) simulation.Installation {
	f := simulation.Installation{Relays: relays, Backends: backends, Clients: clients, SetupWork: 0.004, LineWork: 0.0005, Gossip: true,
		ArrivalWindow: time.Second, SessionDurationRange: [2]time.Duration{8 * time.Second, 30 * time.Second}, ReconnectWindow: 200 * time.Millisecond,
		Server: emulator.Config{Cores: 4, Speed: 1, MaxRequests: 200, Backlog: 128, ColdCapacity: coldCapacity, WarmUpTime: warmUpTime, ColdCrashFactor: overloadFactor,
			ColdCrashWindow: overloadWindow, ReportInterval: 500 * time.Millisecond, ReportNoise: 0.03}}
	clientsPerBackend := float64(clients) / float64(backends)
	f.Server.WarmRequestRate = max(4, clientsPerBackend/3)
	f.ConnectionLoad = 0.6 * f.Server.Cores / clientsPerBackend
	return f
}

// runCluster runs a cluster and fails the test if a relay violates an invariant.
func runCluster(t *testing.T, opt Options) Result {
	t.Helper()
	opt.Program = program
	if opt.Seed == 0 {
		opt.Seed = 1
	}
	res, err := Run(context.Background(), opt)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range res.Violations {
		t.Error("invariant violated:", violation)
	}
	return res
}

// servedShare returns the share of the clients' demand that was served within a range of seconds.
func servedShare(res Result, from, to int) float64 {
	requested, served := 0.0, 0.0
	for _, s := range res.Service[from:min(to, len(res.Service))] {
		requested, served = requested+s.Requested, served+s.Served
	}
	return served / requested
}
