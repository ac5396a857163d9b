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

func fieldNames(list []balance.ReportField) (out []string) {
	for _, f := range list {
		out = append(out, fieldWords[f])
	}
	return out
}

// describe returns a whole configuration as text, in words that do not depend on the names in the code.
func describe(c *Config) string {
	var b strings.Builder
	add := func(what string, args ...any) {
		fmt.Fprintf(&b, "%-28s%s\n", what, fmt.Sprintln(args...)[:len(fmt.Sprintln(args...))-1])
	}
	r, s := &c.Relay, &c.Relay.Settings
	add("name", r.Name)
	add("listens at", r.Listen)
	add("management at", r.AdminListen)
	add("discovery at", r.Discovery)
	add("seed", fmt.Sprintf("%x", r.Seed))
	add("cores, MB, sockets", c.Cores, r.MemoryMB, r.MaxDescriptors)
	add("log level", c.LogLevel)
	add("hears peers at", r.PeerListen)
	add("peers", r.Peers)
	add("all peers at", r.BroadcastPeer)
	add("known", string(r.CachedEndpoints))
	add("scratch", r.RuntimeDir)
	add("relay, of how many, zone", s.RelayIndex, s.RelayCount, s.Zone)
	add("zones", s.ZoneNames)
	add("kinds", s.KindNames)
	add("report's names", s.ReportFieldNames)
	add("report", fieldNames(s.ReportFields))
	add("idle close", s.IdleTimeout)
	add("tick", s.Tick)
	add("over share", s.OverQuotaPriority)
	add("groups", s.Groups)
	add("passes through", s.PassThrough)
	add("tells load, delay", s.ReportsConnectionLoad, s.ReportsMessageDelay)
	add("park", s.ParkTime)
	add("probes", s.HealthChecks)
	add("peers told", s.Gossip)
	add("cancel", s.Cancellation)
	add("retry after, at most", s.RetryAfter, s.MaxRetryAfter)
	add("tries", s.MaxAttempts)
	add("dial", s.DialTimeout)
	add("list on request, every", s.PollEndpoints, s.PollInterval)
	add("answer slack", s.AnswerSlack)
	add("drain grace", s.DrainGrace)
	add("cold from, warm up", s.SlowStartFloor, s.SlowStartWindow)
	add("falls over at, for", s.OverloadMultiple, s.OverloadWindow)
	add("weights", weightsWords[s.Weights])
	p := &s.Costs
	add("prices", p.CrossZone, p.Waste, p.HealthCheck, p.Migration, p.Gossip, p.List, p.LateFailure)
	for i, x := range s.Classes {
		add(fmt.Sprintf("class %d %s", i, s.ClassNames[i]), fmt.Sprintf("%x", x.NameHash), x.LatencyObjective, x.ClientTimeout, x.MessageLatencyObjective, effectWords[x.Idempotency],
			scopeWords[x.DedupScope], x.DedupWindow, x.PriorityWeight, x.Retired)
	}
	for i, x := range s.Tenants {
		add(fmt.Sprintf("tenant %d %s", i, s.TenantNames[i]), x.Share, x.RequestsPerSecond, x.ConnectionQuota)
	}
	if w := r.Shadow; w == nil {
		add("watched", "no")
	} else {
		add("watched", w.HealthChecks, w.Gossip, w.Groups, w.RetryAfter, fieldNames(w.ReportFields), weightsWords[w.Weights])
	}
	if m := r.Membership; m == nil {
		add("membership", "no")
	} else {
		add("membership", m.Fleet, m.ProtocolPeriod, m.ProbesPerPeriod, m.IndirectProbes, m.MinSuspicionTimeout, m.ForgetAfter)
	}
	for class := range s.Classes {
		for tenant := range max(1, len(s.Tenants)) {
			for _, protocol := range []int{routing.ProtocolLine, routing.ProtocolAMQP} {
				for _, key := range []uint64{0, 0x7f << 56, 0x0a << 56} {
					for _, group := range []uint64{0, 0x5c0f6e1a2b3d4c59} {
						q := routing.Request{Class: class, Tenant: tenant, Zone: s.Zone, Protocol: protocol, Key: key, Group: group}
						if x := r.Routes.Lookup(q); x != nil {
							t := &x.RetryPolicy
							add(fmt.Sprintf("goes %d %d %d %x %x", class, tenant, protocol, key>>56, group>>60), x.Name+":", t.ConnectTimeout, t.AttemptTimeout, t.RequestTimeout,
								t.MaxAttempts, t.BaseBackoff, t.MaxBackoff, t.RetryBudget, t.HedgeDelay)
						}
					}
				}
			}
		}
	}
	return b.String()
}

// Files are read with the same values as in earlier versions, and FormatTOML writes the same text.
func TestLoad_Golden(t *testing.T) {
	withTempDir := func(name string) string { return map[string]string{"TMPDIR": "scratch"}[name] }
	for _, tc := range []struct {
		name, path string
		env        func(string) string
	}{
		{"aspenbarrow-toml", "../../example/aspenbarrow.toml", noEnvironment}, {"config-json", "../../example/config.json", noEnvironment},
		{"bare-toml", "testdata/bare.toml", noEnvironment}, {"every-toml", "testdata/every.toml", withTempDir}, {"every-json", "testdata/every.json", withTempDir},
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
			t.Errorf("%s, formatted and parsed again, differs: %v", tc.path, err)
		}
		if tc.name != "every-toml" {
			continue
		}
		given := map[string]bool{} // keys without indices; one given by any class, tenant or route is true
		for _, s := range c.EffectiveSettings(noEnvironment) {
			key := strings.NewReplacer("[0]", "", "[1]", "", "[2]", "").Replace(s.Key)
			given[key] = given[key] || s.Source == "file"
		}
		delete(given, "retries.backoff") // not allowed for all classes, which differ in what may be repeated
		delete(given, "retries.max-backoff")
		delete(given, "retries.second-after")
		for key, found := range given {
			if !found {
				t.Errorf("%s lacks %s", tc.path, key)
			}
		}
	}
}

// indented returns the lines of an error as the golden files contain them.
func indented(err error) string {
	if err == nil {
		return "  taken"
	}
	return "  " + strings.ReplaceAll(err.Error(), "\n", "\n  ")
}

// The problems of a TOML file have the texts and places in the golden file.
func TestLoad_GoldenProblemsOfTOML(t *testing.T) {
	var out strings.Builder
	for _, b := range badFiles {
		_, err := Parse("bad.toml", []byte(strings.Replace(validTOML, b.from, b.to, 1)), noEnvironment, false)
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
		_, err := Parse("every.toml", []byte(strings.Replace(string(every), x[0], x[1], 1)), noEnvironment, false)
		fmt.Fprintf(&out, "every.toml with %q for %q\n%s\n", x[1], x[0], indented(err))
	}
	for _, text := range []string{"", "[relay]\n", "[[class]]\nname = \"a\"\n", "\x00", "a = 1\na = 2\n"} {
		_, err := Parse("short.toml", []byte(text), noEnvironment, false)
		fmt.Fprintf(&out, "%q\n%s\n", text, indented(err))
	}
	c, err := Parse("every.toml", every, noEnvironment, false)
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

// The problems of a JSON file have the texts in the golden file, at a start and when the file is to replace the one in
// force.
func TestLoad_GoldenProblemsOfJSON(t *testing.T) {
	text, err := os.ReadFile("testdata/every.json")
	if err != nil {
		t.Fatal(err)
	}
	every := string(text)
	old, err := parsePlatform("every.json", text, noEnvironment, true)
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
		_, err := parsePlatform("every.json", text, noEnvironment, false)
		fmt.Fprintf(&out, "%q for %q\n%s\n", x[1], x[0], indented(err))
		if c, err := parsePlatform("every.json", text, noEnvironment, true); err == nil {
			fmt.Fprintf(&out, "read again\n%s\n", indented(c.CheckReplacement(old)))
		}
	}
	golden.Compare(t, "faults-json.txt", out.String())
}
