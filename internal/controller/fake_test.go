package controller

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// host takes notes of what a Node has done.
type fakeDriver struct {
	commands           map[uint64][]session.Command
	healthChecks       []balance.BackendID
	clientErrors       []error
	datagrams          []string
	endpointRequests   []bool
	discoveryAddresses []string
	limits             []Limits
	stopped            int
	stoppedAccepting   int
	migrated           []uint64
}

func (driver *fakeDriver) SendCommand(flow uint64, command session.Command) {
	driver.commands[flow] = append(driver.commands[flow], command)
}

func (driver *fakeDriver) EndpointsReceived()             {}
func (driver *fakeDriver) SetSettings(*settings.Settings) {}

func (driver *fakeDriver) MigrateSession(flow uint64) {
	driver.migrated = append(driver.migrated, flow)
}

func (driver *fakeDriver) ReportClientError(_ uint64, err error) {
	driver.clientErrors = append(driver.clientErrors, err)
}

func (driver *fakeDriver) StartHealthCheck(b *upstream.Backend) {
	driver.healthChecks = append(driver.healthChecks, b.ID)
}

func (driver *fakeDriver) ReleaseHealthCheck(balance.BackendID) {}

func (driver *fakeDriver) SendDatagram(to string, data []byte) {
	driver.datagrams = append(driver.datagrams, to+" "+string(data))
}

func (driver *fakeDriver) RequestEndpoints(watch bool) {
	driver.endpointRequests = append(driver.endpointRequests, watch)
}

func (driver *fakeDriver) SetDiscoveryAddress(address string) {
	driver.discoveryAddresses = append(driver.discoveryAddresses, address)
}

func (driver *fakeDriver) SetLimits(s Limits) { driver.limits = append(driver.limits, s) }
func (driver *fakeDriver) StopAccepting()     { driver.stoppedAccepting++ }
func (driver *fakeDriver) Stopped()           { driver.stopped++ }

// last is where a flow was sent last.
func (driver *fakeDriver) lastBackend(flow uint64) *upstream.Backend {
	if o := driver.commands[flow]; len(o) > 0 {
		return o[len(o)-1].Backend
	}
	return nil
}

const threeEndpoints = `{"version":1,"full":true,"servers":[` +
	`{"id":"a","addr":"h:1","state":"ready","weight":1},` +
	`{"id":"b","addr":"h:2","state":"ready","weight":1},` +
	`{"id":"c","addr":"h:3","state":"ready","weight":1}]}`

func testConfig() Config {
	s := settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
	return Config{Name: "n0", Discovery: "d:1", Seed: 1, MemoryMB: 64, MaxDescriptors: 256, CachedEndpoints: []byte(threeEndpoints),
		Peers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Settings: s}
}

// node starts a Node whose backends have all answered a probe, so that no request waits for one.
func newTestController(t *testing.T, cfg Config) (*Controller, *fakeDriver) {
	t.Helper()
	return newLoggedController(t, cfg, zap.NewNop())
}

func newLoggedController(t *testing.T, cfg Config, log *zap.Logger) (*Controller, *fakeDriver) {
	t.Helper()
	driver := &fakeDriver{commands: map[uint64][]session.Command{}}
	controller, err := New(time.Second, cfg, driver, log)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"a", "b", "c"} {
		controller.HealthCheckDone(time.Second, balance.HealthCheckResult{Backend: discovery.BackendID(name), Load: []float32{0.1}})
	}
	return controller, driver
}

// greeted is a flow that has said a line.
func readOpenLine(t *testing.T, controller *Controller, seq uint64, line string) *session.Session {
	t.Helper()
	opened := session.New(seq, controller.Settings(), controller.Metrics())
	g, err := opened.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !g.Opened {
		t.Fatalf("%+v, %v", g, err)
	}
	return opened
}

func openLine(seq uint64) string {
	return fmt.Sprintf("OPEN %016x %016x c=chat,d=9000\r\n", seq, seq)
}

func openSession(t *testing.T, controller *Controller, seq uint64, name string) *session.Session {
	t.Helper()
	opened := readOpenLine(t, controller, seq, fmt.Sprintf("OPEN %016x %016x c=%s,d=1000\r\n", seq, seq, name))
	controller.SessionOpened(time.Second, opened)
	return opened
}

// standsAt brings a flow up at the only backend that its order names.
func establishSession(t *testing.T, controller *Controller, driver *fakeDriver, seq uint64, now time.Duration) *session.Session {
	t.Helper()
	opened := readOpenLine(t, controller, seq, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", seq, seq))
	controller.SessionOpened(now, opened)
	if len(driver.commands[seq]) != 1 || driver.commands[seq][0].Backend == nil {
		t.Fatalf("flow %d has orders %+v", seq, driver.commands[seq])
	}
	do := opened.Execute(now, driver.commands[seq][0])
	controller.SessionEvent(now, seq, opened.AttemptDone(now, do.Attempt, nil).Event)
	return opened
}

// fails has the attempt that is out end so that it may have run, and returns what the flow is told then.
func failAttempt(controller *Controller, driver *fakeDriver, opened *session.Session, now time.Duration) session.Command {
	orders := driver.commands[opened.Seq]
	do := opened.Execute(now, orders[len(orders)-1])
	_, fail := do.Attempt.ReadAnswer([]byte("ERR\r\n"))
	controller.SessionEvent(now, opened.Seq, opened.AttemptDone(now, do.Attempt, fail).Event)
	after := driver.commands[opened.Seq][len(orders):]
	if len(after) != 1 {
		return session.Command{}
	}
	if after[0].Answer != "" {
		opened.Execute(now, after[0])
	}
	return after[0]
}

// played runs a node's timers up to a time.
func fireTimersUntil(controller *Controller, until time.Duration) {
	for at, ok := controller.NextTimer(); ok && at <= until; at, ok = controller.NextTimer() {
		controller.FireTimers(at)
	}
}

// class makes a class with an effect.
func testClass(effect balance.Idempotency) balance.Class {
	return balance.Class{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second, MessageLatencyObjective: 60 * time.Millisecond, Idempotency: effect}
}

// with is the test's configuration with other classes and attempts.
func configWithClasses(names []string, classes []balance.Class, attempts int) Config {
	cfg := testConfig()
	cfg.Settings.ClassNames, cfg.Settings.Classes, cfg.Settings.MaxAttempts = names, classes, attempts
	return cfg
}

// lone is a configuration with one class, of a patience, on one backend.
func oneClassConfig(patience time.Duration, effect balance.Idempotency, pass bool) Config {
	cfg := testConfig()
	cfg.Settings.PassThrough = pass
	cfg.Settings.Classes = []balance.Class{{LatencyObjective: patience / 2, ClientTimeout: patience, Idempotency: effect}}
	return cfg
}

// logTo is a logger's core that hands on each message above debug level.
func messageLogger(hear func(string)) zapcore.Core { return messageCore{zapcore.NewNopCore(), hear} }

type messageCore struct {
	zapcore.Core
	receive func(string)
}

func (c messageCore) Enabled(l zapcore.Level) bool { return l > zapcore.DebugLevel }

func (c messageCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return ce.AddCore(e, c)
}

func (c messageCore) Write(e zapcore.Entry, _ []zapcore.Field) error {
	c.receive(e.Message)
	return nil
}
