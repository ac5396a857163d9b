package config

import "time"

// document is a whole TOML file. The decoder, the example file, the JSON Schema and the tables of docs/configuration.md
// are derived from this type and those of its sections, by the tags of their fields:
//
//   - toml: the name of the key
//   - default: the value of an absent key, the items of a list separated by commas; without this tag, the zero value
//   - required: the file must contain the key
//   - example: the value in the example file, where it differs from the default
//   - oneof: the allowed values of a text, separated by commas
//   - doc: the description of the key
type document struct {
	Relay      relaySection       `toml:"relay" doc:"This relay."`
	Limits     limitsSection      `toml:"limits" doc:"Resource limits of the process. 0 leaves a limit to the system."`
	Discovery  discoverySection   `toml:"discovery" doc:"Where the endpoint list comes from."`
	Peers      peersSection       `toml:"peers" doc:"The other relays, which are notified of slow backends by datagrams."`
	Membership membershipSection  `toml:"membership" doc:"Failure detection among the relays, by datagrams. Requires rules.peers and the whole list of peers."`
	Shadow     shadowSection      `toml:"watch" doc:"Shadow evaluation of another deployment: its decisions are not carried out, and those that would differ are counted."`
	Log        logSection         `toml:"log" doc:"What is logged, as JSON lines on standard error."`
	Rules      rulesSection       `toml:"rules" doc:"Rules of the installation, and what it allows. The same on every relay."`
	Classes    []classSection     `toml:"class" doc:"Classes of requests, in the order that OPEN lines and reports use."`
	Tenants    []tenantSection    `toml:"tenant" doc:"The tenants that share the service."`
	Retries    retryPolicySection `toml:"retries" doc:"Retry policy of all classes, for the keys that a class does not set."`
	Routes     []routeSection     `toml:"route" doc:"Retry policies by properties of a request. The first route that matches applies."`
}

type relaySection struct {
	Name       string        `toml:"name" default:"n0" doc:"Name of this relay, the same after a restart."`
	Listen     string        `toml:"listen" required:"" example:"127.0.0.1:5000" doc:"Address where clients connect."`
	Management string        `toml:"management" example:"127.0.0.1:9000" doc:"Address of the admin endpoint, for READY, STATS, WATCH, DRAIN and UNDRAIN; empty: there is none."`
	Index      int           `toml:"number" default:"0" doc:"Number of this relay among all relays, from 0."`
	Count      int           `toml:"relays" default:"1" doc:"Number of relays."`
	Zone       string        `toml:"zone" doc:"Zone of this relay, one of rules.zones; empty: the first of them."`
	Seed       string        `toml:"seed" default:"1" doc:"Seed of random numbers, hexadecimal; preferably different on each relay."`
	DrainGrace time.Duration `toml:"drain-grace" default:"0s" doc:"How long after the notice of a drain this relay may still send requests to the backend; 0: rules.drain-grace, which is also the maximum."`
}

type limitsSection struct {
	Cores    float64 `toml:"cores" default:"0" doc:"Processor cores."`
	MemoryMB int     `toml:"memory-mb" default:"0" doc:"Memory in megabytes; the relay stays well below it."`
	Sockets  int     `toml:"sockets" default:"0" doc:"File descriptors; two thirds of them are for sessions."`
}

type discoverySection struct {
	Address      string        `toml:"address" required:"" example:"127.0.0.1:8500" doc:"Address of the discovery agent, with a port."`
	Mode         string        `toml:"mode" default:"push" oneof:"push,on-request" doc:"How the relay receives changes: by a watch from the start, or when it asks."`
	PollInterval time.Duration `toml:"ask-every" default:"2s" doc:"In the mode on-request, how often a call without an answer is repeated."`
}

type peersSection struct {
	Listen    string   `toml:"listen" doc:"Address where this relay receives datagrams; empty: it neither receives nor sends any."`
	Addresses []string `toml:"addresses" doc:"Addresses of all relays in the order of their numbers, this one included."`
	Broadcast string   `toml:"all" doc:"Address that reaches all relays."`
}

type membershipSection struct {
	Enabled   bool          `toml:"on" default:"false" doc:"Whether the relays detect failures."`
	Fleet     string        `toml:"fleet" default:"fleet" doc:"Name of the fleet, at most 32 bytes; datagrams of other fleets are rejected."`
	Period    time.Duration `toml:"period" default:"1s" doc:"Length of a round of probes."`
	FanOut    int           `toml:"fan-out" default:"3" doc:"Members that a relay probes in a round."`
	Indirect  int           `toml:"indirect" default:"3" doc:"Other members that are asked to probe one that does not answer."`
	Suspicion time.Duration `toml:"suspicion" default:"700ms" doc:"Shortest time until a suspicion that other members share is decided; four times as long if none shares it."`
	Forget    time.Duration `toml:"forget" default:"10m" doc:"How long a dead relay is still pinged now and then."`
}

type shadowSection struct {
	Enabled      bool     `toml:"on" default:"false" doc:"Whether shadow evaluation is on. Read only at the start of the process."`
	HealthChecks bool     `toml:"probes" default:"false" doc:"Value of rules.probes in the shadow evaluation."`
	Gossip       bool     `toml:"peers" default:"false" doc:"Value of rules.peers in the shadow evaluation."`
	Groups       bool     `toml:"groups" default:"false" doc:"Value of rules.groups in the shadow evaluation."`
	RetryAfter   bool     `toml:"retry-after" default:"true" doc:"Value of rules.retry-after in the shadow evaluation."`
	ReportFields []string `toml:"report" doc:"Value of rules.report in the shadow evaluation; empty: there are no load reports."`
	Weights      string   `toml:"weights" default:"off" oneof:"off,nominal,rough,live" doc:"Value of rules.weights in the shadow evaluation."`
}

type logSection struct {
	Level string `toml:"level" default:"info" oneof:"debug,info,warn,error" doc:"Lowest level that is logged."`
}

type rulesSection struct {
	Zones                 []string      `toml:"zones" default:"local" doc:"Names of the zones."`
	Kinds                 []string      `toml:"kinds" default:"any" doc:"Names of the machine kinds."`
	Tick                  time.Duration `toml:"tick" default:"4ms" doc:"Granularity of timers."`
	AnswerSlack           time.Duration `toml:"answer-slack" default:"16ms" doc:"How late a final answer may be."`
	DrainGrace            time.Duration `toml:"drain-grace" default:"250ms" doc:"How long after the notice of a drain new requests may still be sent to the backend."`
	MaxAttempts           int           `toml:"max-attempts" default:"4" doc:"Most attempts at a request, the first included."`
	ConnectTimeout        time.Duration `toml:"connect-timeout" default:"250ms" doc:"Timeout for connecting to a backend."`
	IdleTimeout           time.Duration `toml:"idle-close" default:"5s" doc:"How long an idle connection to a backend is kept."`
	HealthChecks          bool          `toml:"probes" default:"true" doc:"Whether backends answer health checks, PING or STATS."`
	Gossip                bool          `toml:"peers" default:"false" doc:"Whether relays may notify one another by datagrams."`
	Cancellation          bool          `toml:"cancel" default:"true" doc:"Whether an attempt may be cancelled."`
	RetryAfter            bool          `toml:"retry-after" default:"true" doc:"Whether BUSY may say when to retry."`
	MaxRetryAfter         time.Duration `toml:"max-retry-after" default:"1500ms" doc:"Longest time until a retry that BUSY may give."`
	PassThrough           bool          `toml:"pass-through" default:"false" doc:"Whether packets pass through, so that connections may arrive mid-flow."`
	Groups                bool          `toml:"groups" default:"false" doc:"Whether connections of one group share work on a backend."`
	ReportsConnectionLoad bool          `toml:"tells-load" default:"false" doc:"Whether backends report a connection's load by LOAD lines."`
	ReportsMessageDelay   bool          `toml:"tells-delay" default:"false" doc:"Whether LOAD lines report how many milliseconds a message takes at its backend."`
	ReportFields          []string      `toml:"report" default:"utilization,errors_per_s,x0" doc:"Fields of load reports, in order; empty: there are no reports. Reports come with answers to health checks: without rules.probes there are none."`
	Weights               string        `toml:"weights" default:"nominal" oneof:"off,nominal,rough,live" doc:"What a weight in the endpoint list means."`
	OverQuotaPriority     float64       `toml:"over-share-worth" default:"1" doc:"Worth of a request over its tenant's share, from 0 to 1."`
	SlowStartFloor        float64       `toml:"cold-from" default:"0.3" doc:"Share of its capacity that a newly started backend has at least."`
	SlowStartWindow       time.Duration `toml:"warm-up" default:"8s" doc:"Time from its start until a backend has its full capacity."`
	OverloadMultiple      float64       `toml:"fall-multiple" default:"2.5" doc:"Load that overloads a cold backend, as a multiple of its capacity."`
	OverloadWindow        time.Duration `toml:"fall-span" default:"3s" doc:"How long that load has to last."`
}

// retryPolicySection holds the keys of a retry policy, which classes, routes and [retries] share.
type retryPolicySection struct {
	ConnectTimeout time.Duration `toml:"connect-timeout" default:"0s" doc:"Timeout for connecting; 0: rules.connect-timeout."`
	AttemptTimeout time.Duration `toml:"attempt-timeout" default:"0s" doc:"Timeout of one attempt, connecting included; 0: all the time that is left."`
	RequestTimeout time.Duration `toml:"total" default:"0s" doc:"Timeout of the whole request; 0: as long as its client waits."`
	MaxAttempts    int           `toml:"attempts" default:"0" doc:"Most attempts at a request; 0: rules.max-attempts."`
	BaseBackoff    time.Duration `toml:"backoff" default:"0s" doc:"Pause before the second attempt; doubles each time, and half of it is random."`
	MaxBackoff     time.Duration `toml:"max-backoff" default:"0s" doc:"Longest pause; 0: no maximum."`
	RetryBudget    float64       `toml:"budget" default:"0" doc:"Retries that each request adds to the retry budget, less than 1; 0: a fifth."`
	HedgeDelay     time.Duration `toml:"second-after" default:"0s" doc:"Silence after which the first attempt is cancelled and another backend is tried; 0: never."`
}

type classSection struct {
	Name                    string        `toml:"name" required:"" example:"status-watch" doc:"Name in OPEN lines."`
	LatencyObjective        time.Duration `toml:"on-time" default:"500ms" doc:"A request whose session is established within this time earns its full worth."`
	ClientTimeout           time.Duration `toml:"give-up" required:"" example:"3200ms" doc:"How long its clients wait."`
	MessageLatencyObjective time.Duration `toml:"message-aim" default:"60ms" doc:"Time within which a line on an open connection should be answered."`
	Idempotency             string        `toml:"effect" default:"unsafe" oneof:"safe,keyed,unsafe" doc:"Effect of a repeat: safe does no harm, keyed is discarded within scope and window, unsafe may act twice."`
	DedupScope              string        `toml:"scope" default:"all" oneof:"all,zone,cell" doc:"Which backends discard repeats of a keyed request."`
	DedupWindow             time.Duration `toml:"window" default:"0s" doc:"How long backends discard repeats."`
	PriorityWeight          float64       `toml:"worth" default:"1" doc:"Worth of serving one request."`
	retryPolicySection
}

type tenantSection struct {
	Name              string  `toml:"name" required:"" example:"kyushu" doc:"Name in OPEN lines."`
	Share             float64 `toml:"share" default:"0" doc:"Its share of the service, from 0 to 1."`
	RequestsPerSecond float64 `toml:"quota-per-s" default:"0" doc:"Requests per second within its share, over all relays."`
	ConnectionQuota   float64 `toml:"connections" default:"0" doc:"Open connections within its share, over all relays; 0: no quota."`
}

type routeSection struct {
	Name      string `toml:"name" required:"" example:"uploads" doc:"Name in logs and messages."`
	Class     string `toml:"class" example:"status-watch" doc:"Only requests of this class; empty: of every class."`
	Tenant    string `toml:"tenant" doc:"Only requests of this tenant."`
	Group     string `toml:"group" doc:"Only requests of this group, 16 hexadecimal digits."`
	KeyPrefix string `toml:"key-prefix" doc:"Only requests whose key begins with these digits, up to 16 hexadecimal ones."`
	Zone      string `toml:"zone" doc:"Only at relays in this zone."`
	Protocol  string `toml:"protocol" oneof:",line,amqp" doc:"Only requests by this protocol."`
	retryPolicySection
}
