package controller

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
	"aspenbarrow/internal/hotrestart"
	"aspenbarrow/internal/session"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/upstream"
)

// fakeDriver records the controller's calls.
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
	idMessages         []string
	sendEndpoints      func(to hotrestart.Process, message hotrestart.EndpointMessage) // nil: there is no other process
}

func (d *fakeDriver) SendCommand(sequence uint64, command session.Command) {
	d.commands[sequence] = append(d.commands[sequence], command)
}

func (d *fakeDriver) EndpointsReceived()  {}
func (d *fakeDriver) RequestIDsReceived() {}

func (d *fakeDriver) SendIDMessage(to hotrestart.Process, message hotrestart.IDMessage) {
	d.idMessages = append(d.idMessages, fmt.Sprint(to, " ", message.Encode()))
}

func (d *fakeDriver) SendEndpointMessage(to hotrestart.Process, message hotrestart.EndpointMessage) {
	if d.sendEndpoints != nil {
		d.sendEndpoints(to, message)
	}
}

func (d *fakeDriver) SetSettings(*settings.Settings) {}

func (d *fakeDriver) MigrateSession(sequence uint64) {
	d.migrated = append(d.migrated, sequence)
}

func (d *fakeDriver) ReportClientError(_ uint64, err error) {
	d.clientErrors = append(d.clientErrors, err)
}

func (d *fakeDriver) StartHealthCheck(b *upstream.Backend) {
	d.healthChecks = append(d.healthChecks, b.ID)
}

func (d *fakeDriver) ReleaseHealthCheck(balance.BackendID) {}

func (d *fakeDriver) SendDatagram(to string, data []byte) {
	d.datagrams = append(d.datagrams, to+" "+string(data))
}

func (d *fakeDriver) RequestEndpoints(watch bool) {
	d.endpointRequests = append(d.endpointRequests, watch)
}

func (d *fakeDriver) SetDiscoveryAddress(address string) {
	d.discoveryAddresses = append(d.discoveryAddresses, address)
}

func (d *fakeDriver) SetLimits(limits Limits) { d.limits = append(d.limits, limits) }
func (d *fakeDriver) StopAccepting()          { d.stoppedAccepting++ }
func (d *fakeDriver) ShutdownFinished()       { d.stopped++ }

// lastBackend returns the backend of the session's last command; nil if it has none.
func (d *fakeDriver) lastBackend(sequence uint64) *upstream.Backend {
	if commands := d.commands[sequence]; len(commands) > 0 {
		return commands[len(commands)-1].Backend
	}
	return nil
}

const threeEndpoints = `{"version":1,"full":true,"servers":[` +
	`{"id":"a","addr":"h:1","state":"ready","weight":1},` +
	`{"id":"b","addr":"h:2","state":"ready","weight":1},` +
	`{"id":"c","addr":"h:3","state":"ready","weight":1}]}`

func testConfig() Config {
	relaySettings := settings.Settings{ClassNames: []string{"chat"}, ZoneNames: []string{"east"}, KindNames: []string{"k"},
		ReportFieldNames: []string{"x0"}, IdleTimeout: 5 * time.Second, Settings: balance.Settings{RelayCount: 2,
			Tick: 4 * time.Millisecond, HealthChecks: true, Gossip: true, RetryAfter: true, MaxRetryAfter: time.Second,
			MaxAttempts: 4, DialTimeout: 250 * time.Millisecond, DrainGrace: 250 * time.Millisecond,
			ReportFields: []balance.ReportField{balance.FieldLoadShare}, PassThrough: true,
			Classes: []balance.Class{{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second,
				MessageLatencyObjective: 60 * time.Millisecond}}}}
	return Config{Name: "n0", Discovery: "d:1", Seed: 1, MemoryMB: 64, MaxDescriptors: 256, CachedEndpoints: []byte(threeEndpoints),
		Peers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Settings: relaySettings}
}

// newTestController starts a controller whose backends have all answered a health check, so that no request waits for one.
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

// readOpenLine returns a session that has read the OPEN line and has not been passed to the controller yet.
func readOpenLine(t *testing.T, controller *Controller, sequence uint64, line string) *session.Session {
	t.Helper()
	opened := session.New(sequence, controller.Settings(), controller.Metrics())
	result, err := opened.ReadHandshake(time.Second, []byte(line), true)
	if err != nil || !result.Opened {
		t.Fatalf("the OPEN line is not accepted: %+v, %v", result, err)
	}
	return opened
}

func openLine(sequence uint64) string {
	return fmt.Sprintf("OPEN %016x %016x c=chat,d=9000\r\n", sequence, sequence)
}

func openSession(t *testing.T, controller *Controller, sequence uint64, class string) *session.Session {
	t.Helper()
	opened := readOpenLine(t, controller, sequence, fmt.Sprintf("OPEN %016x %016x c=%s,d=1000\r\n", sequence, sequence, class))
	controller.SessionOpened(time.Second, opened)
	return opened
}

// establishSession opens a session whose first attempt succeeds.
func establishSession(t *testing.T, controller *Controller, driver *fakeDriver, sequence uint64, now time.Duration) *session.Session {
	t.Helper()
	opened := readOpenLine(t, controller, sequence, fmt.Sprintf("OPEN %016x %016x c=chat,d=1000\r\n", sequence, sequence))
	controller.SessionOpened(now, opened)
	if len(driver.commands[sequence]) != 1 || driver.commands[sequence][0].Backend == nil {
		t.Fatalf("session %d has commands %+v, want one attempt", sequence, driver.commands[sequence])
	}
	actions := opened.Execute(now, driver.commands[sequence][0])
	controller.SessionEvent(now, sequence, opened.AttemptDone(now, actions.Attempt, nil).Event)
	return opened
}

// failAttempt ends the pending attempt with ERR, after which the backend may have executed the request. It returns the command
// that follows, or an empty one if there is none or more than one.
func failAttempt(controller *Controller, driver *fakeDriver, opened *session.Session, now time.Duration) session.Command {
	commands := driver.commands[opened.Seq]
	actions := opened.Execute(now, commands[len(commands)-1])
	_, failure := actions.Attempt.ReadAnswer([]byte("ERR\r\n"))
	controller.SessionEvent(now, opened.Seq, opened.AttemptDone(now, actions.Attempt, failure).Event)
	following := driver.commands[opened.Seq][len(commands):]
	if len(following) != 1 {
		return session.Command{}
	}
	if following[0].Answer != "" {
		opened.Execute(now, following[0])
	}
	return following[0]
}

// fireTimersUntil fires all timers up to a time, each at its time.
func fireTimersUntil(controller *Controller, until time.Duration) {
	for at, ok := controller.NextTimer(); ok && at <= until; at, ok = controller.NextTimer() {
		controller.FireTimers(at)
	}
}

// testClass returns a class with the given idempotency.
func testClass(idempotency balance.Idempotency) balance.Class {
	return balance.Class{LatencyObjective: 500 * time.Millisecond, ClientTimeout: time.Second, MessageLatencyObjective: 60 * time.Millisecond, Idempotency: idempotency}
}

// configWithClasses returns the test configuration with the given classes and attempt limit.
func configWithClasses(names []string, classes []balance.Class, maxAttempts int) Config {
	cfg := testConfig()
	cfg.Settings.ClassNames, cfg.Settings.Classes, cfg.Settings.MaxAttempts = names, classes, maxAttempts
	return cfg
}

// oneClassConfig returns the test configuration with one class with the given client timeout.
func oneClassConfig(clientTimeout time.Duration, idempotency balance.Idempotency, passThrough bool) Config {
	cfg := testConfig()
	cfg.Settings.PassThrough = passThrough
	cfg.Settings.Classes = []balance.Class{{LatencyObjective: clientTimeout / 2, ClientTimeout: clientTimeout, Idempotency: idempotency}}
	return cfg
}

// messageLogger returns a logger core that passes each message above debug level to receive.
func messageLogger(receive func(string)) zapcore.Core {
	return messageCore{zapcore.NewNopCore(), receive}
}

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
