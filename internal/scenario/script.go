// Package scenario plays scripted faults against an installation and measures the service that its clients get,
// second by second from the first.
//
// A script is a TOML file that describes the installation and its incidents; unknown keys are errors. It is played
// on a virtual clock (package simulation) or on processes in real time (package testcluster). Experiment compares policies on
// the virtual clock, Alternate programs on processes, both on the same seeds. The package injects no faults and
// checks no rules by itself; its drivers do.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"aspenbarrow/internal/emulator"
	"aspenbarrow/internal/fault"
	"aspenbarrow/internal/simulation"
)

// duration is a time as scripts write it: "15s".
type duration time.Duration

// UnmarshalText reads a time with its unit.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err == nil && v < 0 {
		err = fmt.Errorf("negative duration %q, expected 0 or more", text)
	}
	*d = duration(v)
	return err
}

// Script is one scenario: an installation and what happens to it.
type Script struct {
	Name      string     `toml:"name"`
	Seed      uint64     `toml:"seed"`
	Length    duration   `toml:"length"`
	Fleet     Fleet      `toml:"fleet"`
	Server    Server     `toml:"server"`
	Shared    Dependency `toml:"shared"`
	Groups    []Group    `toml:"group"`
	Incidents []Incident `toml:"incident"`
}

// Fleet is the table [fleet]: how many relays, backends and clients there are, and how they behave.
type Fleet struct {
	Relays   int `toml:"relays"`
	Backends int `toml:"backends"`
	Clients  int `toml:"clients"`

	ArrivalPeriod    duration   `toml:"rush"`       // the first clients connect within this; 0: defaultArrivalPeriod
	SessionDuration  []duration `toml:"stay"`       // the shortest and the longest; empty: shortestSession and longestSession
	ReconnectDelay   duration   `toml:"return"`     // on processes, a client whose connection broke reconnects within this; 0: 300 ms
	HotKeyShare      float64    `toml:"hot-key"`    // share of the clients that use the same key
	HotRelayShare    float64    `toml:"hot-relay"`  // share of the connections sent to the first relay; the others go to all evenly
	MidStreamShare   float64    `toml:"mid-stream"` // on processes, share of the connections that survive their relay and are requested mid-stream
	NoLoadReports    bool       `toml:"no-reports"`
	NoGossip         bool       `toml:"no-peers"`
	Membership       bool       `toml:"membership"` // relays detect which of them are running
	AdvertiseWeights bool       `toml:"weights"`    // the endpoint list has the servers' sizes as weights
}

// Server is the table [server]: the capacity of the backends' machines.
type Server struct {
	Cores          float64  `toml:"cores"`
	Speed          float64  `toml:"speed"`
	MaxRequests    int      `toml:"queue"`
	Backlog        int      `toml:"backlog"`
	SessionWork    duration `toml:"set-up-work"`     // to establish a session, on a nominal core
	LineWork       duration `toml:"line-work"`       // to answer a line, on a nominal core
	ConnectionLoad float64  `toml:"connection-load"` // of an established session, in cores
	ReportEvery    duration `toml:"report-every"`
	ReportNoise    float64  `toml:"report-noise"`

	Sizes           []float64 `toml:"sizes"`      // of the servers in turn, as multiples of Cores
	LateReportShare float64   `toml:"late-share"` // share of the servers whose reports are late by ReportDelay
	ReportDelay     duration  `toml:"late-by"`
}

// Dependency is the table [shared]: a dependency that all servers share.
type Dependency struct {
	Slots    int      `toml:"places"` // 0: there is no shared dependency
	HoldTime duration `toml:"hold"`   // how long one use holds a slot
}

// Group is one table [[group]]: relays and backends under a name.
type Group struct {
	Name     string `toml:"name"`
	Relays   string `toml:"relays"`   // indexes from 0 and ranges of them: "0-39,77"
	Backends string `toml:"backends"` // likewise
}

// Incident is one table [[incident]]: a fault as scripts write it.
type Incident struct {
	Kind     string   `toml:"kind"`
	Start    duration `toml:"at"`
	Duration duration `toml:"for"`
	Target   int      `toml:"who"`
	Severity float64  `toml:"much"`
	Group    string   `toml:"group"` // the relays or backends of this group, in place of Target and Severity

	// Of a link: relays, backends, discovery or clients, optionally with a group: "relays:east".
	From          string   `toml:"from"`
	To            string   `toml:"to"`
	Bidirectional bool     `toml:"both"`
	Partitioned   bool     `toml:"cut"`
	Buffered      bool     `toml:"hold"`
	LossRate      float64  `toml:"loss"`
	DuplicateRate float64  `toml:"double"`
	ReorderRate   float64  `toml:"reorder"`
	Delay         duration `toml:"delay"`
	Jitter        duration `toml:"jitter"`

	fault fault.Fault // with groups resolved
}

// Parse reads a script. The error joins one error for each invalid value, each with the script's name and, where it is
// known, the line.
func Parse(name string, text []byte) (Script, error) {
	var s Script
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return s, decodeError(name, err)
	}
	errs := s.validate(name)
	errs = append(errs, s.resolveIncidents(name, text)...)
	return s, errors.Join(errs...)
}

// decodeError adds the script's name and the position to an error of the decoder.
func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var errs []error
		for _, e := range strict.Errors {
			line, column := e.Position()
			errs = append(errs, fmt.Errorf("%s:%d:%d: %s: no such key", name, line, column, strings.Join(e.Key(), ".")))
		}
		return errors.Join(errs...)
	case errors.As(err, &decode):
		line, column := decode.Position()
		return fmt.Errorf("%s:%d:%d: %w", name, line, column, err)
	}
	return fmt.Errorf("%s: %w", name, err)
}

// validate returns an error for each value of the installation that is out of its range.
func (s *Script) validate(name string) (errs []error) {
	reject := func(format string, args ...any) { errs = append(errs, fmt.Errorf(name+": "+format, args...)) }
	for _, f := range s.ranges() {
		if f.value < f.least || f.value > f.most {
			reject("%s is %v, expected %v to %v", f.key, f.value, f.least, f.most)
		}
	}
	if d := s.Fleet.SessionDuration; len(d) != 0 && (len(d) != 2 || d[0] > d[1] || d[1] == 0) {
		reject("fleet.stay: %d ns, expected two times, the shorter one first, the longer one above 0", d)
	}
	for _, size := range s.Server.Sizes {
		if size < 0.01 || size > 100 {
			reject("server.sizes: %v, expected 0.01 to 100", size)
		}
	}
	return errs
}

// valueRange is a value of a script and its allowed range.
type valueRange struct {
	key         string
	value       float64
	least, most float64
}

func (s *Script) ranges() []valueRange {
	return []valueRange{
		{"length in seconds", time.Duration(s.Length).Seconds(), 10, 3600},
		{"fleet.relays", float64(s.Fleet.Relays), 1, 1000},
		{"fleet.backends", float64(s.Fleet.Backends), 1, 1000},
		{"fleet.clients", float64(s.Fleet.Clients), 1, 1e6},
		{"server.cores", s.Server.Cores, 0.1, 1024},
		{"server.speed", s.Server.Speed, 0.01, 100},
		{"server.queue", float64(s.Server.MaxRequests), 1, 1e6},
		{"server.backlog", float64(s.Server.Backlog), 0, 1e6},
		{"server.set-up-work in seconds", time.Duration(s.Server.SessionWork).Seconds(), 1e-6, 60},
		{"server.connection-load", s.Server.ConnectionLoad, 0, 1024},
		{"server.report-noise", s.Server.ReportNoise, 0, 1},
		{"fleet.hot-key", s.Fleet.HotKeyShare, 0, 1},
		{"fleet.hot-relay", s.Fleet.HotRelayShare, 0, 1},
		{"fleet.mid-stream", s.Fleet.MidStreamShare, 0, 1},
		{"server.late-share", s.Server.LateReportShare, 0, 1},
		{"shared.places", float64(s.Shared.Slots), 0, 1e6},
	}
}

// Settings of an installation that scripts may omit or can't change.
const (
	defaultArrivalPeriod = 2500 * time.Millisecond
	shortestSession      = 2 * time.Second
	longestSession       = 25 * time.Second

	// A backend starts with the share coldCapacity of the capacity that it has after warmUp. Until then it crashes if
	// it gets, over overloadSpan, more than overloadFactor times the requests that it can serve, as the service's
	// backends do.
	coldCapacity   = 0.3
	warmUp         = 8 * time.Second
	overloadFactor = 2.5
	overloadSpan   = 3 * time.Second

	// minWarmRate is the least rate, in requests per second, that a warm backend is assumed to serve.
	minWarmRate = 4
	// clientsPerRequestRate is how many clients of a backend together make one request per second.
	clientsPerRequestRate = 3
)

// installation returns the installation that the script describes, in the form that both drivers use.
func (s *Script) installation() *simulation.Installation {
	server, fleet := &s.Server, &s.Fleet
	return &simulation.Installation{
		Relays: fleet.Relays, Backends: fleet.Backends, Clients: fleet.Clients,
		Server: emulator.Config{
			Cores: server.Cores, Speed: server.Speed, MaxRequests: server.MaxRequests, Backlog: server.Backlog,
			ColdCapacity: coldCapacity, WarmUpTime: warmUp, ColdCrashFactor: overloadFactor, ColdCrashWindow: overloadSpan,
			ReportInterval: time.Duration(server.ReportEvery), ReportNoise: server.ReportNoise,
			WarmRequestRate: max(minWarmRate, float64(fleet.Clients)/float64(fleet.Backends)/clientsPerRequestRate),
		},
		SetupWork: time.Duration(server.SessionWork).Seconds(), LineWork: time.Duration(server.LineWork).Seconds(),
		ConnectionLoad:  server.ConnectionLoad,
		DependencySlots: s.Shared.Slots, DependencyHoldTime: time.Duration(s.Shared.HoldTime),
		ArrivalWindow: fleet.arrivalPeriod(), SessionDurationRange: fleet.sessionDuration(), ReconnectWindow: time.Duration(fleet.ReconnectDelay),
		HotKeyShare: fleet.HotKeyShare, HotRelayShare: fleet.HotRelayShare, MidStreamShare: fleet.MidStreamShare,
		LateReportShare: server.LateReportShare, LateReportDelay: time.Duration(server.ReportDelay), BackendSizes: server.Sizes,
		ListsWeights: fleet.AdvertiseWeights, NoLoadReports: fleet.NoLoadReports, Gossip: !fleet.NoGossip, Membership: fleet.Membership,
	}
}

func (f *Fleet) arrivalPeriod() time.Duration {
	if f.ArrivalPeriod == 0 {
		return defaultArrivalPeriod
	}
	return time.Duration(f.ArrivalPeriod)
}

func (f *Fleet) sessionDuration() [2]time.Duration {
	if len(f.SessionDuration) != 2 {
		return [2]time.Duration{shortestSession, longestSession}
	}
	return [2]time.Duration{time.Duration(f.SessionDuration[0]), time.Duration(f.SessionDuration[1])}
}

// faults returns the incidents as faults for a driver. The result is never nil: given nil, a driver draws faults itself.
func (s *Script) faults() []fault.Fault {
	faults := make([]fault.Fault, len(s.Incidents))
	for i := range s.Incidents {
		faults[i] = s.Incidents[i].fault
	}
	return faults
}
