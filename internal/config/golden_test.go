package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"aspenbarrow/internal/golden"

	"aspenbarrow/balance"
	"aspenbarrow/internal/routing"
)

var (
	effectWords  = map[balance.Idempotency]string{balance.Idempotent: "safe", balance.IdempotentWithKey: "keyed", balance.NonIdempotent: "unsafe"}
	scopeWords   = map[balance.DedupScope]string{balance.ScopeAll: "all", balance.ScopeZone: "zone", balance.ScopeCell: "cell"}
	weightsWords = map[balance.WeightMode]string{balance.WeightsOff: "off", balance.WeightsNominal: "nominal", balance.WeightsRough: "rough",
		balance.WeightsLive: "live"}
	fieldWords = map[balance.ReportField]string{balance.FieldOther: "other", balance.FieldInflight: "held", balance.FieldQueue: "waiting",
		balance.FieldUtilization: "utilization", balance.FieldErrors: "errors", balance.FieldLoadShare: "load share", balance.FieldBacklog: "piled up"}
)

func fieldsWritten(list []balance.ReportField) (out []string) {
	for _, f := range list {
		out = append(out, fieldWords[f])
	}
	return out
}

// describe returns a whole configuration in words that are independent of the names in the code.
func describe(c *Config) string {
	var b strings.Builder
	say := func(what string, args ...any) {
		fmt.Fprintf(&b, "%-28s%s\n", what, fmt.Sprintln(args...)[:len(fmt.Sprintln(args...))-1])
	}
	r, s := &c.Relay, &c.Relay.Settings
	say("name", r.Name)
	say("listens at", r.Listen)
	say("management at", r.AdminListen)
	say("discovery at", r.Discovery)
	say("seed", fmt.Sprintf("%x", r.Seed))
	say("cores, MB, sockets", c.Cores, r.MemoryMB, r.MaxDescriptors)
	say("log level", c.LogLevel)
	say("hears peers at", r.PeerListen)
	say("peers", r.Peers)
	say("all peers at", r.BroadcastPeer)
	say("known", string(r.CachedEndpoints))
	say("scratch", r.RuntimeDir)
	say("relay, of how many, zone", s.RelayIndex, s.RelayCount, s.Zone)
	say("zones", s.ZoneNames)
	say("kinds", s.KindNames)
	say("report's names", s.ReportFieldNames)
	say("report", fieldsWritten(s.ReportFields))
	say("idle close", s.IdleTimeout)
	say("tick", s.Tick)
	say("over share", s.OverQuotaPriority)
	say("groups", s.Groups)
	say("passes through", s.PassThrough)
	say("tells load, delay", s.ReportsConnectionLoad, s.ReportsMessageDelay)
	say("park", s.ParkTime)
	say("probes", s.HealthChecks)
	say("peers told", s.Gossip)
	say("cancel", s.Cancellation)
	say("retry after, at most", s.RetryAfter, s.MaxRetryAfter)
	say("tries", s.MaxAttempts)
	say("dial", s.DialTimeout)
	say("list on request, every", s.PollEndpoints, s.PollInterval)
	say("answer slack", s.AnswerSlack)
	say("drain grace", s.DrainGrace)
	say("cold from, warm up", s.SlowStartFloor, s.SlowStartWindow)
	say("falls over at, for", s.OverloadMultiple, s.OverloadWindow)
	say("weights", weightsWords[s.Weights])
	p := &s.Costs
	say("prices", p.CrossZone, p.Waste, p.HealthCheck, p.Migration, p.Gossip, p.List, p.LateFailure)
	for i, x := range s.Classes {
		say(fmt.Sprintf("class %d %s", i, s.ClassNames[i]), fmt.Sprintf("%x", x.NameHash), x.LatencyObjective, x.ClientTimeout, x.MessageLatencyObjective, effectWords[x.Idempotency],
			scopeWords[x.DedupScope], x.DedupWindow, x.PriorityWeight, x.Retired)
	}
	for i, x := range s.Tenants {
		say(fmt.Sprintf("tenant %d %s", i, s.TenantNames[i]), x.Share, x.RequestsPerSecond, x.ConnectionQuota)
	}
	if w := r.Shadow; w == nil {
		say("watched", "no")
	} else {
		say("watched", w.HealthChecks, w.Gossip, w.Groups, w.RetryAfter, fieldsWritten(w.ReportFields), weightsWords[w.Weights])
	}
	if m := r.Membership; m == nil {
		say("membership", "no")
	} else {
		say("membership", m.Fleet, m.ProtocolPeriod, m.ProbesPerPeriod, m.IndirectProbes, m.MinSuspicionTimeout, m.ForgetAfter)
	}
	for class := range s.Classes {
		for tenant := range max(1, len(s.Tenants)) {
			for _, protocol := range []int{routing.ProtocolLine, routing.ProtocolAMQP} {
				for _, key := range []uint64{0, 0x7f << 56, 0x0a << 56} {
					for _, group := range []uint64{0, 0x5c0f6e1a2b3d4c59} {
						q := routing.Request{Class: class, Tenant: tenant, Zone: s.Zone, Protocol: protocol, Key: key, Group: group}
						if x := r.Routes.Lookup(q); x != nil {
							t := &x.RetryPolicy
							say(fmt.Sprintf("goes %d %d %d %x %x", class, tenant, protocol, key>>56, group>>60), x.Name+":", t.ConnectTimeout, t.AttemptTimeout, t.RequestTimeout,
								t.MaxAttempts, t.BaseBackoff, t.MaxBackoff, t.RetryBudget, t.HedgeDelay)
						}
					}
				}
			}
		}
	}
	return b.String()
}

// Files are read to the values that earlier versions read, and FormatTOML writes the same text.
func TestLoad_Golden(t *testing.T) {
	scratch := func(name string) string { return map[string]string{"TMPDIR": "scratch"}[name] }
	for _, tc := range []struct {
		name, path string
		env        func(string) string
	}{
		{"aspenbarrow-toml", "../../example/aspenbarrow.toml", none}, {"config-json", "../../example/config.json", none},
		{"bare-toml", "testdata/bare.toml", none}, {"every-toml", "testdata/every.toml", scratch}, {"every-json", "testdata/every.json", scratch},
		{"environment", "testdata/every.toml", func(name string) string {
			return map[string]string{"PROXY_NAME": "n9", "PROXY_LISTEN": "127.0.0.1:59", "PROXY_DISCOVERY": "127.0.0.1:89", "PROXY_MANAGEMENT": "127.0.0.1:99"}[name]
		}},
	} {
		c, err := Load(tc.path, tc.env, false)
		if err != nil {
			t.Errorf("%s: %v", tc.path, err)
			continue
		}
		golden.Compare(t, tc.name+".told", describe(&c))
		if c.document == nil {
			continue
		}
		golden.Compare(t, tc.name+".written", c.FormatTOML())
		again, err := Parse("again.toml", []byte(c.FormatTOML()), tc.env, false)
		if err != nil || describe(&again) != describe(&c) || again.FormatTOML() != c.FormatTOML() {
			t.Errorf("%s written out is read otherwise: %v", tc.path, err)
		}
		if tc.name != "every-toml" {
			continue
		}
		whole := map[string]bool{} // keys of any class, tenant or route count
		for _, s := range c.EffectiveSettings(none) {
			key := strings.NewReplacer("[0]", "", "[1]", "", "[2]", "").Replace(s.Key)
			whole[key] = whole[key] || s.Source == "file"
		}
		delete(whole, "retries.backoff") // its classes differ in what may be repeated
		delete(whole, "retries.max-backoff")
		delete(whole, "retries.second-after")
		for key, given := range whole {
			if !given {
				t.Errorf("%s does not give %s", tc.path, key)
			}
		}
	}
}

// indented returns an error, line by line, as the golden files have it.
func indented(err error) string {
	if err == nil {
		return "  taken"
	}
	return "  " + strings.ReplaceAll(err.Error(), "\n", "\n  ")
}

// The problems of a TOML file keep their texts and places.
func TestLoad_GoldenProblemsOfTOML(t *testing.T) {
	var out strings.Builder
	for _, b := range badFiles {
		_, err := Parse("bad.toml", []byte(strings.Replace(sound, b.from, b.to, 1)), none, false)
		fmt.Fprintf(&out, "%q for %q\n%s\n", b.to, b.from, indented(err))
	}
	every, err := os.ReadFile("testdata/every.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range [][2]string{
		{`probes = true`, `probes = "yes"`}, {`cores = 1.5`, `cores = "1"`}, {`cores = 1.5`, `cores = nan`}, {`kinds = ["small", "large"]`, `kinds = "small"`},
		{`kinds = ["small", "large"]`, `kinds = ["small", 7]`}, {`tick = "8ms"`, `tick = 8`}, {`tick = "8ms"`, `tick = "8"`}, {`tick = "8ms"`, `tick = "25h"`},
		{`tick = "8ms"`, `tick = 2024-01-01`}, {`tick = "8ms"`, `tick = {a = 1}`}, {`[log]`, `[[log]]`}, {`[[tenant]]`, `[tenant]`},
		{"[relay]", "class = [1]\n[relay]"}, {`level = "debug"`, `level = "debgu"`}, {`tells-delay = false`, `tells-delay = true`},
		{`zones = ["east", "west"]`, `zones = ["east", "west", "east", "a b"]`}, {`max-attempts = 5`, `max-attempts = 0`}, {`cold-from = 0.4`, `cold-from = 1.4`},
		{`over-share-worth = 0.25`, `over-share-worth = 2`}, {`drain-grace = "120ms"`, `drain-grace = "400ms"`}, {`all = "127.0.0.255:7946"`, `all = "x"`},
		{"management = \"127.0.0.1:9001\"", `management = "x"`}, {`listen = "127.0.0.1:7946"`, `listen = "127.0.0.3:7946"`}, {`listen = "127.0.0.1:7946"`, ``},
		{`"127.0.0.2:7946", "127.0.0.1:7946"`, `"127.0.0.1:7946", "127.0.0.1:7946"`}, {`addresses = ["127.0.0.2:7946", "127.0.0.1:7946"]`, ``},
		{`fleet = "golden"`, `fleet = ""`}, {`period = "2s"`, `period = "1ms"`}, {`fan-out = 4`, `fan-out = 99`}, {`indirect = 2`, `indirect = 17`},
		{`suspicion = "1500ms"`, `suspicion = "10ms"`}, {`forget = "5m"`, `forget = "5s"`}, {"peers = true\ncancel", "peers = false\ncancel"},
		{"probes = true\npeers = true\ngroups", "probes = false\npeers = true\ngroups"},
		{"report = [\"utilization\", \"backlog\", \"outstanding\", \"x1\"]\nweights = \"live\"", "report = [\"x0\"]\nweights = \"live\""},
		{`name = "milano"`, `name = "kyushu"`}, {`group = "5c0f6e1a2b3d4c59"`, `group = "zz"`},
	} {
		if !strings.Contains(string(every), x[0]) {
			t.Fatalf("%q is not in the file", x[0])
		}
		_, err := Parse("every.toml", []byte(strings.Replace(string(every), x[0], x[1], 1)), none, false)
		fmt.Fprintf(&out, "every.toml with %q for %q\n%s\n", x[1], x[0], indented(err))
	}
	for _, text := range []string{"", "[relay]\n", "[[class]]\nname = \"a\"\n", "\x00", "a = 1\na = 2\n"} {
		_, err := Parse("short.toml", []byte(text), none, false)
		fmt.Fprintf(&out, "%q\n%s\n", text, indented(err))
	}
	c, err := Parse("every.toml", every, none, false)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range [][5]string{{"sig-fetsh", "", "", "", "line"}, {"sig-fetch", "roma", "", "", "line"}, {"sig-fetch", "", "7", "", "line"},
		{"sig-fetch", "", "", "zz", "line"}, {"sig-fetch", "", "", "", "http"}} {
		_, err := c.RoutingRequest(description(a))
		fmt.Fprintf(&out, "explain %q\n%s\n", a, indented(err))
	}
	golden.Compare(t, "faults-toml.txt", out.String())
}

// The problems of a JSON file keep their texts, at a start and when the file is to replace the one in force.
func TestLoad_GoldenProblemsOfJSON(t *testing.T) {
	text, err := os.ReadFile("testdata/every.json")
	if err != nil {
		t.Fatal(err)
	}
	every := string(text)
	old, err := parsePlatform("every.json", text, none, true)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, x := range [][2]string{
		{"", ""}, {`{`, ``}, {`"listen": "127.0.0.1:5001"`, `"listen": 7`}, {`"listen": "127.0.0.1:5001"`, `"listen": ""`}, {`"discovery": "127.0.0.1:8501"`, `"discovery": "x"`},
		{`"management": "127.0.0.1:9001"`, `"management": "x"`}, {`"cores": 1.5`, `"cores": -1`}, {`"seed": "8c1f30d27a5be964"`, `"seed": "x"`},
		{`"peer_listen": "127.0.0.1:7946"`, `"peer_listen": ""`}, {`"fleet": "golden"`, `"fleet": ""`}, {`"period_ms": 2000`, `"period_ms": 1`},
		{`"peers": ["127.0.0.2:7946", "127.0.0.1:7946"]`, `"peers": []`}, {`"me": 1`, `"me": 2`}, {`"effect": "read_like"`, `"effect": "idle"`},
		{`"dedup-scope": "zone"`, `"dedup-scope": "moon"`}, {`"name": "order"`, `"name": "chat"`}, {`"give-up-ms": 2000`, `"give-up-ms": 0`},
		{`"on-time-ms": 400`, `"on-time-ms": -1`}, {`"dedup-window-ms": 900`, `"dedup-window-ms": 0`}, {`"try-limit": 5`, `"try-limit": 0`},
		{`"dial-timeout-ms": 200`, `"dial-timeout-ms": 0`}, {`[60, 70, 80, 90, 100.5]`, `[60]`}, {`"name": "n1",`, ``}, {`"tick-ms": 8.5,`, ``},
		{`"worth": 2.5`, `"worth": "2.5"`},
		{`"tells-load": true`, `"tells-load": 1`}, {`"effect": "read_like", "on-time-ms": 500, `, `"on-time-ms": 500, `},
	} {
		if !strings.Contains(every, x[0]) {
			t.Fatalf("%q is not in the file", x[0])
		}
		text := []byte(strings.Replace(every, x[0], x[1], 1))
		_, err := parsePlatform("every.json", text, none, false)
		fmt.Fprintf(&out, "%q for %q\n%s\n", x[1], x[0], indented(err))
		if c, err := parsePlatform("every.json", text, none, true); err == nil {
			fmt.Fprintf(&out, "read again\n%s\n", indented(c.CheckReplacement(old)))
		}
	}
	golden.Compare(t, "faults-json.txt", out.String())
}
