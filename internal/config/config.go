// This file owns what a relay is told, whatever it was read from, and the checks
// of what a TOML file says as a whole. It must never start anything, nor guess
// what is missing where the relay cannot run without it.

package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/machine"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
)

// Config is what a relay is told.
type Config struct {
	Relay machine.Config
	Cores float64
	Level string // the least that is logged; empty: info
	file  *file  // what it was read from; nil: the platform's JSON
	text  []byte // that; nil: TOML
	given map[string]bool
}

// Read reads a file: TOML if its name ends so, else the platform's JSON. Variables
// of the environment, where set, go before what it says; but not PROXY_DISCOVERY
// when the file is read again and names an agent: the environment still names that
// of the process's start. What is wrong with a TOML file is told as Faults.
func Read(path string, env func(string) string, again bool) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, err
	}
	if strings.HasSuffix(path, ".toml") {
		return Parse(path, text, env, again)
	}
	return parseJSON(path, text, env, again)
}

// override has the environment go before a file.
func override(env func(string) string, again bool, name, listen, address, management *string) {
	for _, o := range []struct {
		variable string
		value    *string
	}{{"PROXY_NAME", name}, {"PROXY_LISTEN", listen}, {"PROXY_DISCOVERY", address}, {"PROXY_MANAGEMENT", management}} {
		if v := env(o.variable); v != "" && !(again && o.value == address && *address != "") {
			*o.value = v
		}
	}
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// parseJSON reads the platform's form.
func parseJSON(path string, text []byte, env func(string) string, again bool) (Config, error) {
	var in struct {
		Name       string          `json:"name"`
		Listen     string          `json:"listen"`
		Discovery  string          `json:"discovery"`
		Management string          `json:"management"`
		Seed       string          `json:"seed"`
		Limits     limits          `json:"limits"`
		PeerListen string          `json:"peer_listen"`
		Peers      []string        `json:"peers"`
		PeersAll   string          `json:"peers_all"`
		Known      json.RawMessage `json:"known"`
		Settings   json.RawMessage `json:"settings"`
		Watch      json.RawMessage `json:"watch"` // settings in the same form, of which the shape is watched
		Membership *struct {       // none: relays don't find out who is there
			Fleet       string  `json:"fleet"`
			PeriodMS    float64 `json:"period_ms"`
			SuspicionMS float64 `json:"suspicion_ms"`
		} `json:"membership"`
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	override(env, again, &in.Name, &in.Listen, &in.Discovery, &in.Management)
	if in.Listen == "" || in.Discovery == "" {
		return Config{}, errors.New("the listen address or that of discovery is missing")
	}
	if _, _, err := net.SplitHostPort(in.Discovery); err != nil {
		return Config{}, fmt.Errorf("discovery: %w", err)
	}
	if _, _, err := net.SplitHostPort(in.Management); in.Management != "" && err != nil {
		return Config{}, fmt.Errorf("management: %w", err)
	}
	if in.Limits.Cores < 0 || in.Limits.MemoryMB < 0 || in.Limits.Sockets < 0 {
		return Config{}, fmt.Errorf("limits %+v", in.Limits)
	}
	seed, err := strconv.ParseUint(in.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("seed %q: %w", in.Seed, err)
	}
	s, err := settings.Parse(in.Settings)
	if err == nil && !again { // a reload is held to it by Replaces
		err = settings.Validate(in.Settings)
	}
	if err != nil {
		return Config{}, err
	}
	if string(in.Known) == "null" {
		in.Known = nil
	}
	var shape *machine.Shape
	if len(in.Watch) > 0 && string(in.Watch) != "null" {
		w, err := settings.Parse(in.Watch)
		if err != nil {
			return Config{}, fmt.Errorf("watch: %w", err)
		}
		if w.Gossip && in.PeerListen == "" {
			return Config{}, errors.New("watch: relays would tell one another, and peer_listen is missing")
		}
		shape = machine.ShapeOf(&w.Settings)
	}
	var members *membership.Settings
	if m := in.Membership; m != nil {
		of := membership.Sound(m.Fleet)
		if m.PeriodMS > 0 {
			of.Period = settings.FromMilliseconds(m.PeriodMS)
		}
		if m.SuspicionMS > 0 {
			of.Suspicion = settings.FromMilliseconds(m.SuspicionMS)
		}
		if fs := of.Faults(); len(fs) > 0 {
			return Config{}, fmt.Errorf("membership: %s: %s", fs[0].Key, fs[0].Reason)
		}
		if !s.Gossip || in.PeerListen == "" || len(in.Peers) <= s.RelayIndex {
			return Config{}, errors.New("membership: settings.limits.peers, peer_listen and this relay among peers are wanted")
		}
		members = &of
	}
	return Config{Cores: in.Limits.Cores, text: text, Relay: machine.Config{Membership: members, Name: in.Name, Listen: in.Listen, Discovery: in.Discovery,
		Seed: seed, MemoryMB: in.Limits.MemoryMB, Sockets: in.Limits.Sockets, PeerListen: in.PeerListen, Peers: in.Peers,
		PeersAll: in.PeersAll, Known: in.Known, Settings: s, Management: in.Management, Watch: shape, Scratch: env("TMPDIR")}}, nil
}

// Parse reads a TOML text.
func Parse(name string, text []byte, env func(string) string, again bool) (Config, error) {
	f, r := read(name, text)
	if f == nil {
		return Config{}, r.faults
	}
	override(env, again, &f.Relay.Name, &f.Relay.Listen, &f.Discovery.Address, &f.Relay.Management)
	for key, v := range map[string]string{"relay.listen": f.Relay.Listen, "discovery.address": f.Discovery.Address} {
		if v != "" && !r.given[key] { // the environment gave it
			r.faults = slices.DeleteFunc(r.faults, func(f Fault) bool { return f.Key == key && f.Reason == "is missing" })
		}
	}
	c := f.config(r)
	c.Relay.Scratch = env("TMPDIR")
	if len(r.faults) > 0 {
		return Config{}, r.faults.sorted()
	}
	c.file, c.given = f, r.given
	return c, nil
}

var (
	effects = map[string]balance.Idempotency{"safe": balance.Idempotent, "keyed": balance.IdempotentWithKey, "unsafe": balance.NonIdempotent}
	scopes  = map[string]balance.DedupScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}
	weights = map[string]balance.WeightMode{"off": balance.WeightsOff, "nominal": balance.WeightsNominal,
		"rough": balance.WeightsRough, "live": balance.WeightsLive}
)

// config turns a file into what a relay is told; what is wrong with it goes to the
// reader.
func (f *file) config(r *reader) Config {
	address := func(key, v string, empty bool) {
		if _, port, err := net.SplitHostPort(v); v == "" && empty {
			return
		} else if n, bad := strconv.Atoi(port); err != nil || bad != nil || n < 0 || n > 65535 {
			r.fault(key, "%q is no address with a port", v)
		}
	}
	if r.given["relay.listen"] {
		address("relay.listen", f.Relay.Listen, false)
	}
	if r.given["discovery.address"] {
		address("discovery.address", f.Discovery.Address, false)
	}
	address("relay.management", f.Relay.Management, true)
	address("peers.listen", f.Peers.Listen, true)
	address("peers.all", f.Peers.All, true)
	for _, p := range f.Peers.Addresses {
		address("peers.addresses", p, false)
	}
	seed, err := strconv.ParseUint(f.Relay.Seed, 16, 64)
	if err != nil {
		r.fault("relay.seed", "%q is no hexadecimal number of at most 16 digits", f.Relay.Seed)
	}
	if f.Relay.Relays < 1 {
		r.fault("relay.relays", "there is one relay at least")
	} else if f.Relay.Number >= f.Relay.Relays {
		r.fault("relay.number", "relay %d of %d (relay.relays): numbers begin at 0", f.Relay.Number, f.Relay.Relays)
	}
	if n := len(f.Peers.Addresses); f.Peers.Listen != "" && n > 0 && n != f.Relay.Relays {
		r.fault("peers.addresses", "%d addresses for %d relays (relay.relays)", n, f.Relay.Relays)
	}
	if f.Rules.Peers && f.Peers.Listen == "" {
		r.fault("peers.listen", "is missing, and rules.peers says that relays tell one another")
	}
	if f.Relay.DrainGrace > f.Rules.DrainGrace {
		r.fault("relay.drain-grace", "%v is over rules.drain-grace, %v", f.Relay.DrainGrace, f.Rules.DrainGrace)
	}
	s := f.settings(r)
	rules := routing.Limits{MaxAttempts: f.Rules.MaxAttempts, Cancellation: f.Rules.Cancel, AnswerSlack: f.Rules.AnswerSlack}
	c := Config{Cores: f.Limits.Cores, Level: f.Log.Level, Relay: machine.Config{Name: f.Relay.Name, Listen: f.Relay.Listen,
		Discovery: f.Discovery.Address, Seed: seed, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets,
		PeerListen: f.Peers.Listen, Peers: f.Peers.Addresses, PeersAll: f.Peers.All, Settings: s, Management: f.Relay.Management}}
	c.Relay.Routes = f.routes(r, &s, rules)
	c.Relay.Watch = f.shape(r)
	c.Relay.Membership = f.membership(r)
	return c
}

// membership is how relays find out who is there; nil: they don't.
func (f *file) membership(r *reader) *membership.Settings {
	m := &f.Members
	if !m.On {
		return nil
	}
	if !f.Rules.Peers {
		r.fault("membership.on", "relays find out by datagrams who is there, and rules.peers says that they may send none")
	}
	if len(f.Peers.Addresses) == 0 {
		r.fault("membership.on", "peers.addresses is missing: it says who may be there")
	}
	for i, a := range f.Peers.Addresses {
		if slices.Contains(f.Peers.Addresses[:i], a) {
			r.fault("peers.addresses", "%q comes twice, and membership.on tells relays apart by their addresses", a)
		}
	}
	if host, _, err := net.SplitHostPort(f.Peers.Listen); err == nil && host != "" && host != "0.0.0.0" && host != "::" &&
		len(f.Peers.Addresses) > 0 && !slices.Contains(f.Peers.Addresses, f.Peers.Listen) {
		r.fault("peers.listen", "%q is not in peers.addresses: with membership.on the others would not know this relay", f.Peers.Listen)
	}
	s := membership.Settings{Fleet: m.Fleet, Period: m.Period, Fan: m.Fan, Indirect: m.Indirect, Suspicion: m.Suspicion, Forget: m.Forget}
	for _, e := range s.Faults() {
		r.fault("membership."+e.Key, "%s", e.Reason)
	}
	return &s
}

// shape is what is to be watched; nil: nothing.
func (f *file) shape(r *reader) *machine.Shape {
	w := &f.Watch
	if !w.On {
		return nil
	}
	if w.Peers && f.Peers.Listen == "" {
		r.fault("watch.peers", "relays would tell one another, and peers.listen is missing")
	}
	if len(w.Report) > 0 && !w.Probes {
		r.fault("watch.report", "load reports come with answers to probes, and watch.probes says that there are none")
	}
	s := &machine.Shape{Probes: w.Probes, Peers: w.Peers, Groups: w.Groups, RetryAfter: w.RetryAfter, Weights: weights[w.Weights]}
	if len(w.Report) > 0 && !slices.Equal(w.Report, f.Rules.Report) {
		r.fault("watch.report", "reports come in the form of rules.report, %q: watch that or none", f.Rules.Report)
	}
	for _, name := range w.Report {
		s.Report = append(s.Report, settings.ReportField(name))
	}
	return s
}

// settings are the installation's rules and classes.
func (f *file) settings(r *reader) settings.Settings {
	u := &f.Rules
	unique := func(key string, names []string) {
		for i, n := range names {
			if n == "" || strings.ContainsAny(n, " ,=") {
				r.fault(key, "%q is no name: letters, digits and signs but space, comma and =", n)
			} else if slices.Contains(names[:i], n) {
				r.fault(key, "%q comes twice", n)
			}
		}
	}
	unique("rules.zones", u.Zones)
	unique("rules.kinds", u.Kinds)
	s := settings.Settings{ZoneNames: u.Zones, KindNames: u.Kinds, ReportFieldNames: u.Report, IdleTimeout: u.IdleClose}
	zone := 0
	if f.Relay.Zone != "" {
		if zone = slices.Index(u.Zones, f.Relay.Zone); zone < 0 {
			r.fault("relay.zone", "%s", unknown(f.Relay.Zone, "rules.zones", u.Zones))
		}
	}
	grace := u.DrainGrace
	if f.Relay.DrainGrace > 0 {
		grace = f.Relay.DrainGrace
	}
	s.Settings = balance.Settings{RelayIndex: f.Relay.Number, RelayCount: max(1, f.Relay.Relays), Zone: max(0, zone), Tick: u.Tick,
		OverQuotaPriority: u.OverShare, Groups: u.Groups, PassThrough: u.PassThrough, ReportsConnectionLoad: u.TellsLoad, ReportsMessageDelay: u.TellsDelay, HealthChecks: u.Probes,
		Gossip: u.Peers, Cancellation: u.Cancel, RetryAfter: u.RetryAfter, MaxAttempts: u.MaxAttempts, MaxRetryAfter: u.MaxRetryAfter,
		DialTimeout: u.Connect, PollEndpoints: f.Discovery.Mode == "on-request", PollInterval: f.Discovery.Ask,
		AnswerSlack: u.AnswerSlack, DrainGrace: grace, SlowStartFloor: u.ColdFrom, SlowStartWindow: u.WarmUp, OverloadMultiple: u.FallTimes,
		OverloadWindow: u.FallSpan, Weights: weights[u.Weights]}
	for _, d := range []struct {
		key string
		bad bool
	}{{"rules.max-attempts", u.MaxAttempts < 1}, {"rules.connect-timeout", u.Connect == 0}, {"rules.tick", u.Tick == 0}} {
		if d.bad {
			r.fault(d.key, "is nothing")
		}
	}
	if u.ColdFrom > 1 {
		r.fault("rules.cold-from", "%v is over the whole capacity", u.ColdFrom)
	}
	if u.OverShare > 1 {
		r.fault("rules.over-share-worth", "%v is over the full worth", u.OverShare)
	}
	for _, name := range u.Report {
		s.ReportFields = append(s.ReportFields, settings.ReportField(name))
	}
	if u.TellsLoad && u.TellsDelay {
		r.fault("rules.tells-delay", "a LOAD line carries one thing: rules.tells-load says that it is the connection's load")
	}
	if !u.Probes { // reports come with answers to probes: held to be told, they would be waited for in vain
		s.ReportFields, s.ReportFieldNames = nil, nil
	}
	if len(f.Classes) == 0 {
		r.fault("class", "is missing: a relay needs one class at least")
	}
	for i, c := range f.Classes {
		key := fmt.Sprintf("class[%d]", i)
		if slices.Contains(s.ClassNames, c.Name) {
			r.fault(key+".name", "%q comes twice", c.Name)
		}
		if strings.ContainsAny(c.Name, " ,=") {
			r.fault(key+".name", "%q cannot stand in an OPEN line", c.Name)
		}
		if c.Effect == "keyed" && c.Window == 0 {
			r.fault(key+".window", "is missing, and %s.effect is keyed: for how long are repeats discarded?", key)
		}
		if c.Effect != "keyed" && c.Window > 0 {
			r.fault(key+".window", "is for keyed classes; %s.effect is %s", key, c.Effect)
		}
		if r.given[key+".give-up"] && c.GiveUp == 0 {
			r.fault(key+".give-up", "is nothing")
		} else if c.OnTime > c.GiveUp && c.GiveUp > 0 {
			r.fault(key+".on-time", "%v is over %s.give-up, %v", c.OnTime, key, c.GiveUp)
		}
		s.ClassNames = append(s.ClassNames, c.Name)
		s.Classes = append(s.Classes, balance.Class{NameHash: settings.HashName(c.Name), LatencyObjective: c.OnTime, ClientTimeout: c.GiveUp, MessageLatencyObjective: c.MessageAim,
			Idempotency: effects[c.Effect], DedupScope: scopes[c.Scope], DedupWindow: c.Window, PriorityWeight: c.Worth})
	}
	share := 0.0
	for i, t := range f.Tenants {
		key := fmt.Sprintf("tenant[%d]", i)
		if slices.Contains(s.TenantNames, t.Name) {
			r.fault(key+".name", "%q comes twice", t.Name)
		}
		if share += t.Share; share > 1+1e-9 {
			r.fault(key+".share", "the shares up to here come to %.3g, over the whole", share)
		}
		s.TenantNames = append(s.TenantNames, t.Name)
		s.Tenants = append(s.Tenants, balance.Tenant{Share: t.Share, RequestsPerSecond: t.Quota, ConnectionQuota: t.Connections})
	}
	return s
}

// unknown says that a name is none of those in another key.
func unknown(name, where string, known []string) string {
	reason := fmt.Sprintf("%q is none of %s", name, where)
	if near := nearest(name, known); near != "" {
		reason += fmt.Sprintf("; is %q meant?", near)
	}
	return reason
}

func (t *timingSection) timing() balance.RetryPolicy {
	return balance.RetryPolicy{ConnectTimeout: t.Connect, AttemptTimeout: t.Attempt, RequestTimeout: t.Total, MaxAttempts: t.Attempts, BaseBackoff: t.Backoff,
		MaxBackoff: t.MaxBackoff, RetryBudget: t.Budget, HedgeDelay: t.Second}
}

// over is a timing with what it leaves open taken from a wider one.
func over(t, wider balance.RetryPolicy) balance.RetryPolicy {
	take := func(to *time.Duration, from time.Duration) {
		if *to == 0 {
			*to = from
		}
	}
	if t.BaseBackoff == 0 { // a pause and its ceiling go together
		take(&t.MaxBackoff, wider.MaxBackoff)
	}
	take(&t.ConnectTimeout, wider.ConnectTimeout)
	take(&t.AttemptTimeout, wider.AttemptTimeout)
	take(&t.RequestTimeout, wider.RequestTimeout)
	take(&t.BaseBackoff, wider.BaseBackoff)
	take(&t.HedgeDelay, wider.HedgeDelay)
	if t.MaxAttempts == 0 {
		t.MaxAttempts = wider.MaxAttempts
	}
	if t.RetryBudget == 0 {
		t.RetryBudget = wider.RetryBudget
	}
	return t
}

// routes makes the table of routes: the file's in their order, then one for each
// class that has a timing of its own or by way of retries.
func (f *file) routes(r *reader, s *settings.Settings, rules routing.Limits) *routing.Table {
	timings := make([]balance.RetryPolicy, len(f.Classes))
	plain := f.Retries.timing()
	check := func(key string, t balance.RetryPolicy, class int, by string) {
		if f.Classes[class].GiveUp == 0 {
			return // told already
		}
		for _, fault := range routing.CheckPolicy(t, s.Classes[class], rules) {
			reason := fault.Reason
			if fault.Other != "" {
				reason += fmt.Sprintf(" (%s)", strings.Replace(fault.Other, "class.", fmt.Sprintf("class[%d].", class), 1))
			}
			if by != "" {
				reason += by
			}
			r.fault(key+"."+fault.Key, "%s", reason)
		}
	}
	for i := range f.Classes {
		own := f.Classes[i].timing()
		timings[i] = over(own, plain)
		if timings[i] == plain {
			if i == 0 || plain != (balance.RetryPolicy{}) {
				check("retries", plain, i, fmt.Sprintf(", for class %q", f.Classes[i].Name))
			}
			continue
		}
		check(fmt.Sprintf("class[%d]", i), timings[i], i, "")
	}
	var asked []routing.Route
	var at []int
	for i := range f.Routes {
		if m, ok := f.Routes[i].match(r, fmt.Sprintf("route[%d]", i), f, s); ok {
			asked, at = append(asked, routing.Route{Name: f.Routes[i].Name, Match: m}), append(at, i)
		}
	}
	_, errs := routing.NewTable(asked)
	for _, err := range errs {
		var e *routing.ShadowedRouteError
		if errors.As(err, &e) {
			r.fault(fmt.Sprintf("route[%d]", at[e.Index]), "%v", err)
		}
	}
	var all []routing.Route
	for n, a := range asked {
		i := at[n]
		key, own := fmt.Sprintf("route[%d]", i), f.Routes[i].timing()
		if class := a.Match.Class; class != routing.Any {
			a.RetryPolicy = over(own, timings[class])
			check(key, a.RetryPolicy, class, "")
			all = append(all, a)
			continue
		}
		for class := range f.Classes { // a class's timing shows through, so each has its own
			a.Match.Class, a.RetryPolicy = class, over(own, timings[class])
			check(key, a.RetryPolicy, class, fmt.Sprintf(", for class %q", f.Classes[class].Name))
			all = append(all, a)
		}
	}
	for i, t := range timings {
		if t != (balance.RetryPolicy{}) {
			m := routing.MatchAll
			m.Class = i
			all = append(all, routing.Route{Name: "class " + f.Classes[i].Name, Match: m, RetryPolicy: t})
		}
	}
	if len(all) == 0 {
		return nil
	}
	table, _ := routing.NewTable(all) // what hides a class's own route was meant to
	return table
}

// match turns a route's conditions into numbers.
func (q *routeSection) match(r *reader, key string, f *file, s *settings.Settings) (routing.Match, bool) {
	m, ok := routing.MatchAll, true
	find := func(name, at, where string, known []string, to *int) {
		if name == "" {
			return
		}
		if *to = slices.Index(known, name); *to < 0 {
			r.fault(key+"."+at, "%s", unknown(name, where, known))
			ok = false
		}
	}
	find(q.Class, "class", "class[].name", s.ClassNames, &m.Class)
	find(q.Tenant, "tenant", "tenant[].name", s.TenantNames, &m.Tenant)
	find(q.Zone, "zone", "rules.zones", s.ZoneNames, &m.Zone)
	find(q.Protocol, "protocol", "line, amqp", []string{"line", "amqp"}, &m.Protocol)
	digits := func(text, at string, whole bool) uint64 {
		v, err := strconv.ParseUint(text+strings.Repeat("0", max(0, 16-len(text))), 16, 64)
		if err != nil || len(text) > 16 || whole && len(text) != 16 || strings.ToLower(text) != text {
			r.fault(key+"."+at, "%q: wanted are hexadecimal digits in lower case, %s", text,
				map[bool]string{true: "16 of them", false: "16 at most"}[whole])
			ok = false
		}
		return v
	}
	if q.Group != "" {
		if m.Group = digits(q.Group, "group", true); m.Group == 0 && ok {
			r.fault(key+".group", "0 is no group")
			ok = false
		}
	}
	if q.KeyPrefix != "" {
		m.Key, m.KeyBits = digits(q.KeyPrefix, "key-prefix", false), 4*min(16, len(q.KeyPrefix))
	}
	return m, ok
}
