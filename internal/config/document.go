package config

import "time"

// document is a whole TOML file. The decoder, the example file, the JSON Schema and docs/configuration.md are all made
// from this type and those of its sections, by the tags of their fields:
//
//   - toml: the name of the key
//   - default: the value of an absent key, lists separated by commas; without this tag it is the zero value
//   - required: the file has to give the key
//   - example: the value in the example file, where the default would not do
//   - oneof: the values that a text can have, separated by commas
//   - doc: what the key is for
type document struct {
	Relay      relaySection       `toml:"relay" doc:"This relay."`
	Limits     limitsSection      `toml:"limits" doc:"What the process may use. 0 leaves a limit to the system."`
	Discovery  discoverySection   `toml:"discovery" doc:"Where the list of backends comes from."`
	Peers      peersSection       `toml:"peers" doc:"The other relays, told of slow servers by datagrams."`
	Membership membershipSection  `toml:"membership" doc:"The relays find out by datagrams who of them is there. Wants rules.peers and the whole list of peers."`
	Shadow     shadowSection      `toml:"watch" doc:"Another shape of deployment: the module decides under it in vain, and what would differ is counted."`
	Log        logSection         `toml:"log" doc:"What is logged, as JSON lines on standard error."`
	Rules      rulesSection       `toml:"rules" doc:"The installation's rules and what it allows. The same on every relay."`
	Classes    []classSection     `toml:"class" doc:"Kinds of request, in the order that OPEN lines and reports know."`
	Tenants    []tenantSection    `toml:"tenant" doc:"Those who share the service."`
	Retries    retryPolicySection `toml:"retries" doc:"The timing of all classes that do not say otherwise."`
	Routes     []routeSection     `toml:"route" doc:"Timing by what a request says of itself. The first route that matches counts."`
}

type relaySection struct {
	Name       string        `toml:"name" default:"n0" doc:"Its name, the same after a restart."`
	Listen     string        `toml:"listen" required:"" example:"127.0.0.1:5000" doc:"Where clients connect."`
	Management string        `toml:"management" example:"127.0.0.1:9000" doc:"The second address, where staff ask READY, STATS and WATCH and say DRAIN and UNDRAIN; empty: there is none."`
	Index      int           `toml:"number" default:"0" doc:"Its number among the relays, from 0."`
	Count      int           `toml:"relays" default:"1" doc:"How many relays there are."`
	Zone       string        `toml:"zone" doc:"Its zone, one of rules.zones; the first if not given."`
	Seed       string        `toml:"seed" default:"1" doc:"For random numbers, hexadecimal; best another on each relay."`
	DrainGrace time.Duration `toml:"drain-grace" default:"0s" doc:"How long after it was told of a drain it may still send there; 0: as rules.drain-grace, the most."`
}

type limitsSection struct {
	Cores    float64 `toml:"cores" default:"0" doc:"Processor cores."`
	MemoryMB int     `toml:"memory-mb" default:"0" doc:"Memory in megabytes; the relay keeps well under it."`
	Sockets  int     `toml:"sockets" default:"0" doc:"File descriptors; two thirds of them are for connections that are placed."`
}

type discoverySection struct {
	Address      string        `toml:"address" required:"" example:"127.0.0.1:8500" doc:"The agent, an address with a port."`
	Mode         string        `toml:"mode" default:"push" oneof:"push,on-request" doc:"Whether changes come by a watch from the start, or when the relay asks."`
	PollInterval time.Duration `toml:"ask-every" default:"2s" doc:"Where lists come on request, how often a call without an answer is made again."`
}

type peersSection struct {
	Listen    string   `toml:"listen" doc:"Where this relay hears datagrams; empty: it hears and tells nobody."`
	Addresses []string `toml:"addresses" doc:"The relays in the order of their numbers, this one among them."`
	Broadcast string   `toml:"all" doc:"An address that reaches all of them."`
}

type membershipSection struct {
	Enabled   bool          `toml:"on" default:"false" doc:"Whether they do."`
	Fleet     string        `toml:"fleet" default:"fleet" doc:"The fleet's name, 32 bytes at most; datagrams of others are not taken."`
	Period    time.Duration `toml:"period" default:"1s" doc:"A round of probes."`
	FanOut    int           `toml:"fan-out" default:"3" doc:"Members that a relay probes in a round."`
	Indirect  int           `toml:"indirect" default:"3" doc:"Others that are asked to probe one that doesn't answer."`
	Suspicion time.Duration `toml:"suspicion" default:"700ms" doc:"From a suspicion that is shared to a judgement, at least; four times that for one that nobody shares."`
	Forget    time.Duration `toml:"forget" default:"10m" doc:"For how long a dead relay is asked for now and then."`
}

type shadowSection struct {
	Enabled      bool     `toml:"on" default:"false" doc:"Whether it is watched. Taken at the start of the process."`
	HealthChecks bool     `toml:"probes" default:"false" doc:"As rules.probes would be."`
	Gossip       bool     `toml:"peers" default:"false" doc:"As rules.peers would be."`
	Groups       bool     `toml:"groups" default:"false" doc:"As rules.groups would be."`
	RetryAfter   bool     `toml:"retry-after" default:"true" doc:"As rules.retry-after would be."`
	ReportFields []string `toml:"report" doc:"As rules.report would be; empty: no reports come."`
	Weights      string   `toml:"weights" default:"off" oneof:"off,nominal,rough,live" doc:"As rules.weights would be."`
}

type logSection struct {
	Level string `toml:"level" default:"info" oneof:"debug,info,warn,error" doc:"The least that is logged."`
}

type rulesSection struct {
	Zones                 []string      `toml:"zones" default:"local" doc:"The zones' names."`
	Kinds                 []string      `toml:"kinds" default:"any" doc:"The machine kinds' names."`
	Tick                  time.Duration `toml:"tick" default:"4ms" doc:"How fine times are to be taken."`
	AnswerSlack           time.Duration `toml:"answer-slack" default:"16ms" doc:"What a final answer may be late by."`
	DrainGrace            time.Duration `toml:"drain-grace" default:"250ms" doc:"Nothing new to a draining server so long after it was told."`
	MaxAttempts           int           `toml:"max-attempts" default:"4" doc:"Attempts at a request, the first included."`
	ConnectTimeout        time.Duration `toml:"connect-timeout" default:"250ms" doc:"For a connection to a backend to come up."`
	IdleTimeout           time.Duration `toml:"idle-close" default:"5s" doc:"How long an idle connection to a backend is kept."`
	HealthChecks          bool          `toml:"probes" default:"true" doc:"Backends answer PING or STATS."`
	Gossip                bool          `toml:"peers" default:"false" doc:"Relays may tell one another by datagrams."`
	Cancellation          bool          `toml:"cancel" default:"true" doc:"An attempt may be broken off."`
	RetryAfter            bool          `toml:"retry-after" default:"true" doc:"BUSY may say when to come back."`
	MaxRetryAfter         time.Duration `toml:"max-retry-after" default:"1500ms" doc:"The latest time to come back that is said."`
	PassThrough           bool          `toml:"pass-through" default:"false" doc:"Packets pass through: connections may arrive mid-flow."`
	Groups                bool          `toml:"groups" default:"false" doc:"Connections of one group share work on a backend."`
	ReportsConnectionLoad bool          `toml:"tells-load" default:"false" doc:"Backends tell a connection's load by LOAD lines."`
	ReportsMessageDelay   bool          `toml:"tells-delay" default:"false" doc:"LOAD lines tell how many milliseconds a message takes at its backend."`
	ReportFields          []string      `toml:"report" default:"utilization,errors_per_s,x0" doc:"The fields of load reports, in order; empty: none are given. They come with answers to probes: without rules.probes none do."`
	Weights               string        `toml:"weights" default:"nominal" oneof:"off,nominal,rough,live" doc:"What a weight in the list means."`
	OverQuotaPriority     float64       `toml:"over-share-worth" default:"1" doc:"What a request over its tenant's share is worth, from 0 to 1."`
	SlowStartFloor        float64       `toml:"cold-from" default:"0.3" doc:"The share of its capacity that a fresh server has at least."`
	SlowStartWindow       time.Duration `toml:"warm-up" default:"8s" doc:"How long a server takes to be warm."`
	OverloadMultiple      float64       `toml:"fall-multiple" default:"2.5" doc:"A cold server falls over at so many times what it can do,"`
	OverloadWindow        time.Duration `toml:"fall-span" default:"3s" doc:"for so long."`
}

// retryPolicySection holds the keys of a retry policy, which classes, routes and [retries] share.
type retryPolicySection struct {
	ConnectTimeout time.Duration `toml:"connect-timeout" default:"0s" doc:"For a connection to come up; 0: as rules.connect-timeout."`
	AttemptTimeout time.Duration `toml:"attempt-timeout" default:"0s" doc:"For one attempt, connecting included; 0: all the time that is left."`
	RequestTimeout time.Duration `toml:"total" default:"0s" doc:"For the whole request; 0: as long as its client waits."`
	MaxAttempts    int           `toml:"attempts" default:"0" doc:"Attempts at most; 0: rules.max-attempts."`
	BaseBackoff    time.Duration `toml:"backoff" default:"0s" doc:"Before the second attempt; doubles each time, half of it by chance."`
	MaxBackoff     time.Duration `toml:"max-backoff" default:"0s" doc:"The longest pause; 0: no ceiling."`
	RetryBudget    float64       `toml:"budget" default:"0" doc:"Further attempts that each request earns, less than 1; 0: a fifth."`
	HedgeDelay     time.Duration `toml:"second-after" default:"0s" doc:"Silence after which the first attempt is cancelled for one elsewhere; 0: never."`
}

type classSection struct {
	Name                    string        `toml:"name" required:"" example:"status-watch" doc:"The name in OPEN lines."`
	LatencyObjective        time.Duration `toml:"on-time" default:"500ms" doc:"Set up within this, it earns its full worth."`
	ClientTimeout           time.Duration `toml:"give-up" required:"" example:"3200ms" doc:"How long its clients wait."`
	MessageLatencyObjective time.Duration `toml:"message-aim" default:"60ms" doc:"A line on an open connection is wanted within this."`
	Idempotency             string        `toml:"effect" default:"unsafe" oneof:"safe,keyed,unsafe" doc:"What a repeat does: no harm, is discarded within scope and window, or may act twice."`
	DedupScope              string        `toml:"scope" default:"all" oneof:"all,zone,cell" doc:"Which servers discard repeats of a keyed request."`
	DedupWindow             time.Duration `toml:"window" default:"0s" doc:"For how long they do."`
	PriorityWeight          float64       `toml:"worth" default:"1" doc:"What serving one is worth."`
	retryPolicySection
}

type tenantSection struct {
	Name              string  `toml:"name" required:"" example:"kyushu" doc:"The name in OPEN lines."`
	Share             float64 `toml:"share" default:"0" doc:"Its share of the service, from 0 to 1."`
	RequestsPerSecond float64 `toml:"quota-per-s" default:"0" doc:"Requests a second within its share, over all relays."`
	ConnectionQuota   float64 `toml:"connections" default:"0" doc:"Open connections within its share, over all relays; 0: not held to any."`
}

type routeSection struct {
	Name      string `toml:"name" required:"" example:"uploads" doc:"For logs and messages."`
	Class     string `toml:"class" example:"status-watch" doc:"Only requests of this class; empty: each."`
	Tenant    string `toml:"tenant" doc:"Only this tenant's."`
	Group     string `toml:"group" doc:"Only this group's, 16 hexadecimal digits."`
	KeyPrefix string `toml:"key-prefix" doc:"Only keys that begin so, up to 16 hexadecimal digits."`
	Zone      string `toml:"zone" doc:"Only at relays of this zone."`
	Protocol  string `toml:"protocol" oneof:",line,amqp" doc:"Only what comes by this protocol."`
	retryPolicySection
}
