package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"aspenbarrow/balance"
	"aspenbarrow/internal/routing"
)

func noEnvironment(string) string { return "" }

// description returns a request description from its class, tenant, group, key and protocol.
func description(parts [5]string) RequestDescription {
	return RequestDescription{Class: parts[0], Tenant: parts[1], Group: parts[2], Key: parts[3], Protocol: parts[4]}
}

const validTOML = `[relay]
name = "n1"
listen = "127.0.0.1:5000"
number = 1
relays = 2
zone = "west"
seed = "8c1f"
[limits]
cores = 1
memory-mb = 64
[discovery]
address = "127.0.0.1:8500"
[peers]
listen = "127.0.0.1:7946"
addresses = ["10.0.0.1:1", "10.0.0.2:1"]
[rules]
peers = true
zones = ["east", "west"]
max-attempts = 4
drain-grace = "250ms"
[[class]]
name = "status-watch"
give-up = "3200ms"
effect = "safe"
[[class]]
name = "sig-fetch"
give-up = "1800ms"
on-time = "300ms"
effect = "keyed"
scope = "all"
window = "2s"
[[class]]
name = "image-submit"
give-up = "4s"
effect = "unsafe"
[[tenant]]
name = "kyushu"
share = 0.5
[[tenant]]
name = "milano"
share = 0.4
[retries]
connect-timeout = "200ms"
[[route]]
name = "hot"
class = "status-watch"
key-prefix = "7f"
second-after = "400ms"
[[route]]
name = "fetches"
class = "sig-fetch"
attempt-timeout = "500ms"
attempts = 3
backoff = "50ms"
max-backoff = "100ms"
[[route]]
name = "milano"
tenant = "milano"
budget = 0.1
`

func TestParse(t *testing.T) {
	c, err := Parse("a.toml", []byte(validTOML), noEnvironment, false)
	if err != nil {
		t.Fatal(err)
	}
	s := c.Relay.Settings
	if c.Relay.Name != "n1" || c.Relay.Seed != 0x8c1f || s.RelayIndex != 1 || s.Zone != 1 || len(s.Classes) != 3 || s.MaxAttempts != 4 ||
		s.Classes[1].DedupWindow != 2*time.Second || s.Classes[2].Idempotency != balance.NonIdempotent || s.Tenants[1].Share != 0.4 {
		t.Errorf("%+v", c.Relay)
	}
	for _, tc := range []struct {
		request routing.Request
		name    string
		want    balance.RetryPolicy
	}{
		{routing.Request{Class: 0, Key: 0x7f << 56}, "hot", balance.RetryPolicy{ConnectTimeout: 200 * time.Millisecond, HedgeDelay: 400 * time.Millisecond}},
		{routing.Request{Class: 0, Key: 0x7e << 56}, "class status-watch", balance.RetryPolicy{ConnectTimeout: 200 * time.Millisecond}},
		{routing.Request{Class: 1, Tenant: 1}, "fetches", balance.RetryPolicy{ConnectTimeout: 200 * time.Millisecond,
			AttemptTimeout: 500 * time.Millisecond, MaxAttempts: 3, BaseBackoff: 50 * time.Millisecond, MaxBackoff: 100 * time.Millisecond}},
		{routing.Request{Class: 2, Tenant: 1}, "milano", balance.RetryPolicy{ConnectTimeout: 200 * time.Millisecond, RetryBudget: 0.1}},
	} {
		r := c.Relay.Routes.Lookup(tc.request)
		if r == nil || r.Name != tc.name || r.RetryPolicy != tc.want {
			t.Errorf("request %+v: got route %+v", tc.request, r)
		}
	}
}

// badFile is one replacement that makes validTOML invalid, with the key of the expected problem and a part of its
// reason. The expected line is that of the first occurrence of to, or of at if that is set.
type badFile struct{ from, to, key, reason, at string }

var badFiles = []badFile{
	{`[relay]`, `[relay`, "(syntax)", "expected", ""},
	{`name = "n1"`, `name = "n1`, "(syntax)", "", ""},
	{`name = "n1"`, "name = \"n1\"\nname = \"n2\"", "(syntax)", "", `name = "n2"`},
	{`name = "n1"`, `name = 7`, "relay.name", "got the whole number 7, expected a text", ""},
	{`name = "n1"`, `nmae = "n1"`, "relay.nmae", `no such key; did you mean "name"?`, ""},
	{`name = "n1"`, `colour = "n1"`, "relay.colour", "no such key", ""},
	{`listen = "127.0.0.1:5000"`, ``, "relay.listen", "is missing", "[relay]"},
	{`listen = "127.0.0.1:5000"`, `listen = "127.0.0.1"`, "relay.listen", "is not an address with a port", ""},
	{`listen = "127.0.0.1:5000"`, `listen = "127.0.0.1:99999"`, "relay.listen", "is not an address with a port", ""},
	{`number = 1`, `number = 2`, "relay.number", "2 is out of range: expected 0 to 1, for 2 relays (relay.relays)", ""},
	{`number = 1`, `number = "1"`, "relay.number", `got the text "1", expected a whole number`, ""},
	{`number = 1`, `number = -1`, "relay.number", "out of range", ""},
	{`relays = 2`, `relays = 0`, "relay.relays", "0 is out of range: expected at least 1 relay", ""},
	{`relays = 2`, `relays = 3`, "peers.addresses", "2 addresses for 3 relays (relay.relays)", "addresses = "},
	{`zone = "west"`, `zone = "wset"`, "relay.zone", `"wset" is not one of rules.zones; did you mean "west"?`, ""},
	{`seed = "8c1f"`, `seed = "xyz"`, "relay.seed", "not a hexadecimal number", ""},
	{`seed = "8c1f"`, "seed = \"8c1f\"\ndrain-grace = \"300ms\"", "relay.drain-grace", "300ms is longer than rules.drain-grace, 250ms", "drain-grace = \"300ms\""},
	{`cores = 1`, `cores = -1.5`, "limits.cores", "out of range", ""},
	{`cores = 1`, `cores = nan`, "limits.cores", "out of range", ""},
	{`memory-mb = 64`, `memory_mb = 64`, "limits.memory_mb", `did you mean "memory-mb"?`, ""},
	{`memory-mb = 64`, `memory-mb = 64.5`, "limits.memory-mb", "got the number 64.5, expected a whole number", ""},
	{`address = "127.0.0.1:8500"`, `mode = "push"`, "discovery.address", "is missing", "[discovery]"},
	{`address = "127.0.0.1:8500"`, `address = "nowhere"`, "discovery.address", "is not an address", ""},
	{`address = "127.0.0.1:8500"`, "address = \"127.0.0.1:8500\"\nmode = \"pushed\"", "discovery.mode", `"pushed" is not one of push, on-request; did you mean "push"?`, `mode = "pushed"`},
	{`listen = "127.0.0.1:7946"`, ``, "peers.listen", "is missing: it is required when rules.peers is true", "[peers]"},
	{`addresses = ["10.0.0.1:1", "10.0.0.2:1"]`, `addresses = ["10.0.0.1:1", 7]`, "peers.addresses", "holds the whole number 7", ""},
	{`addresses = ["10.0.0.1:1", "10.0.0.2:1"]`, `addresses = ["10.0.0.1:1", "there"]`, "peers.addresses", `"there" is not an address`, ""},
	{`addresses = ["10.0.0.1:1", "10.0.0.2:1"]`, `addresses = "10.0.0.1:1"`, "peers.addresses", "expected a list", ""},
	{`peers = true`, `peers = "yes"`, "rules.peers", "expected true or false", ""},
	{`zones = ["east", "west"]`, `zones = ["west", "west"]`, "rules.zones", `"west" is listed twice`, ""},
	{`zones = ["east", "west"]`, `zones = ["a b", "west"]`, "rules.zones", `"a b" is not a name`, ""},
	{`max-attempts = 4`, `max-attempts = 0`, "rules.max-attempts", "0 is out of range: expected at least 1", ""},
	{`drain-grace = "250ms"`, `drain-grace = 250`, "rules.drain-grace", `a time with a unit, such as "1.8s"`, ""},
	{`drain-grace = "250ms"`, `drain-grace = "250"`, "rules.drain-grace", `"250" is not a time`, ""},
	{`drain-grace = "250ms"`, `drain-grace = "-1s"`, "rules.drain-grace", "out of range", ""},
	{`drain-grace = "250ms"`, `cold-from = 1.5`, "rules.cold-from", "expected at most 1, the full capacity", ""},
	{`drain-grace = "250ms"`, `weights = "heavy"`, "rules.weights", "not one of off, nominal, rough, live", ""},
	{`drain-grace = "250ms"`, `over-share-worth = 2`, "rules.over-share-worth", "expected at most 1, the full worth", ""},
	{`drain-grace = "250ms"`, `connect-timeout = "0s"`, "rules.connect-timeout", "0s is out of range: expected more than 0", ""},
	{`drain-grace = "250ms"`, `tick = "0s"`, "rules.tick", "0s is out of range: expected more than 0", ""},
	{`drain-grace = "250ms"`, `tick = 2026-12-01`, "rules.tick", "got the date or time of day 2026-12-01", ""},
	{`name = "sig-fetch"`, `name = "status-watch"`, "class[1].name", `"status-watch" is the name of two classes`, "name = \"status-watch\"\ngive-up = \"1800ms\""},
	{`name = "sig-fetch"`, ``, "class[1].name", "is missing", "[[class]]\n\ngive-up"},
	{`name = "sig-fetch"`, `name = "sig,fetch"`, "class[1].name", "cannot be written in an OPEN line", ""},
	{`give-up = "1800ms"`, ``, "class[1].give-up", "is missing", "[[class]]\nname = \"sig-fetch\""},
	{`give-up = "1800ms"`, `give-up = "0s"`, "class[1].give-up", "0s is out of range: expected more than 0", ""},
	{`on-time = "300ms"`, `on-time = "2s"`, "class[1].on-time", "2s is longer than class[1].give-up, 1.8s", ""},
	{`effect = "keyed"`, `effect = "idempotent"`, "class[1].effect", "not one of safe, keyed, unsafe", ""},
	{`window = "2s"`, ``, "class[1].window", "is missing: it is how long repeats are discarded, required because class[1].effect is keyed", "[[class]]\nname = \"sig-fetch\""},
	{`effect = "unsafe"`, "effect = \"unsafe\"\nwindow = \"1s\"", "class[2].window", "1s is only allowed for keyed classes, but class[2].effect is unsafe", `window = "1s"`},
	{`scope = "all"`, `scope = "planet"`, "class[1].scope", "not one of all, zone, cell", ""},
	{`name = "milano"
share = 0.4`, "name = \"kyushu\"\nshare = 0.4", "tenant[1].name", `"kyushu" is the name of two tenants`, "name = \"kyushu\"\nshare = 0.4"},
	{`share = 0.4`, `share = 0.6`, "tenant[1].share", "add up to 1.1, expected at most 1", ""},
	// Retry policies that contradict the rules.
	{`attempts = 3`, `attempts = 5`, "route[1].attempts", "5 attempts, where the installation allows 4 (rules.max-attempts)", ""},
	{`second-after = "400ms"`, "attempts = 1\nsecond-after = \"400ms\"", "route[0].second-after", "a second attempt after 400ms, but attempts are limited to 1 (attempts)", `second-after = "400ms"`},
	{`second-after = "400ms"`, `second-after = "4s"`, "route[0].second-after", "a second attempt after 4s, but the request ends after", ""},
	{`drain-grace = "250ms"`, `cancel = false`, "route[0].second-after", "a second attempt would overlap the first", "second-after"},
	{`second-after = "400ms"`, "second-after = \"400ms\"\nattempt-timeout = \"300ms\"", "route[0].second-after", "the first attempt has ended after 300ms", `second-after = "400ms"`},
	{`second-after = "400ms"`, `total = "3300ms"`, "route[0].total", "3.3s is longer than the client waits: 3.2s less 16ms for the answer (class[0].give-up)", ""},
	{`second-after = "400ms"`, `total = "3190ms"`, "route[0].total", "longer than the client waits", ""},
	{`attempt-timeout = "500ms"`, `attempt-timeout = "1900ms"`, "route[1].attempt-timeout", "1.9s is longer than the client waits", ""},
	{`attempt-timeout = "500ms"`, `attempt-timeout = "600ms"`, "route[1].attempts", "3 attempts of 600ms and pauses of up to 150ms cannot end within 1.784s (attempt-timeout)", "attempts = 3"},
	{`attempt-timeout = "500ms"`, "attempt-timeout = \"500ms\"\ntotal = \"400ms\"", "route[1].attempt-timeout", "an attempt of 500ms does not fit into 400ms (total)", ""},
	{`attempt-timeout = "500ms"`, `attempt-timeout = "100ms"`, "route[1].connect-timeout", "connecting may take 200ms, the whole attempt only 100ms", `[[route]]
name = "fetches"`},
	{`backoff = "50ms"`, `backoff = "2s"`, "route[1].backoff", "a pause of 2s does not fit into 1.784s", ""},
	{`backoff = "50ms"`, `backoff = "150ms"`, "route[1].max-backoff", "the ceiling 100ms is under the first pause 150ms (backoff)", `max-backoff = "100ms"`},
	{`backoff = "50ms"`, ``, "route[1].max-backoff", "a ceiling of 100ms without any pause (backoff)", `max-backoff = "100ms"`},
	{`attempts = 3`, `attempts = 1`, "route[1].backoff", "a pause before a second attempt that is never made (attempts)", `backoff = "50ms"`},
	{`budget = 0.1`, `budget = 1.5`, "route[2].budget", "expected less than 1: retries would allow further retries without end", ""},
	{`budget = 0.1`, `budget = -0.1`, "route[2].budget", "out of range", ""},
	{`class = "status-watch"
key-prefix`, "class = \"image-submit\"\nkey-prefix", "route[0].second-after", "a second attempt may execute the request twice: the class is unsafe (class[2].effect)", `second-after = "400ms"`},
	{`class = "status-watch"
key-prefix = "7f"
second-after = "400ms"`, "class = \"image-submit\"\nattempt-timeout = \"1s\"\nattempts = 2", "route[0].attempts", "may have been executed, and requests of this class must not be repeated", "attempts = 2"},
	{`window = "2s"`, `window = "900ms"`, "route[1].attempts", "outside the window of 900ms", "attempts = 3"},
	{`max-backoff = "100ms"`, "max-backoff = \"100ms\"\nsecond-after = \"2s\"", "route[1].second-after", "is outside the window of 2s", `second-after = "2s"`},
	{`scope = "all"`, "scope = \"cell\"\nsecond-after = \"300ms\"", "class[1].second-after", "outside the cell that discards repeats (class[1].scope)", `second-after = "300ms"`},
	{`connect-timeout = "200ms"`, `connect-timeout = "2s"`, "retries.connect-timeout", `for class "sig-fetch"`, ""},
	{`give-up = "4s"`, "give-up = \"4s\"\ntotal = \"5s\"", "class[2].total", "5s is longer than the client waits", `total = "5s"`},
	// Routes.
	{`class = "sig-fetch"`, `class = "sig-fetsh"`, "route[1].class", `"sig-fetsh" is not one of class[].name; did you mean "sig-fetch"?`, ""},
	{`tenant = "milano"`, `tenant = "roma"`, "route[2].tenant", `"roma" is not one of tenant[].name`, ""},
	{`tenant = "milano"`, `zone = "north"`, "route[2].zone", `"north" is not one of rules.zones`, ""},
	{`tenant = "milano"`, `protocol = "http"`, "route[2].protocol", `"http" is not one of line, amqp`, ""},
	{`tenant = "milano"`, `group = "7"`, "route[2].group", "expected exactly 16 hexadecimal digits", ""},
	{`tenant = "milano"`, `group = "0000000000000000"`, "route[2].group", `"0000000000000000" is not a group`, ""},
	{`key-prefix = "7f"`, `key-prefix = "7F"`, "route[0].key-prefix", "in lower case", ""},
	{`key-prefix = "7f"`, `key-prefix = "00112233445566778"`, "route[0].key-prefix", "expected at most 16 hexadecimal digits", ""},
	{`tenant = "milano"`, "class = \"sig-fetch\"\ntenant = \"milano\"", "route[2]", `route "milano" can never match: the earlier route "fetches" matches all`, "[[route]]\nname = \"milano\""},
	{`name = "milano"
tenant`, "tenant", "route[2].name", "is missing", "[[route]]\ntenant"},
}

func TestParse_Problems(t *testing.T) {
	if len(badFiles) < 60 {
		t.Fatalf("only %d bad files", len(badFiles))
	}
	for _, b := range badFiles {
		t.Run(b.key+" "+b.reason, func(t *testing.T) {
			if strings.Count(validTOML, b.from) < 1 {
				t.Fatalf("%q is not in validTOML", b.from)
			}
			text := strings.Replace(validTOML, b.from, b.to, 1)
			at := b.at
			if at == "" {
				at = b.to
			}
			want := 1 + strings.Count(text[:strings.Index(text, at)], "\n")
			_, err := Parse("bad.toml", []byte(text), noEnvironment, false)
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("%q for %q: %v", b.to, b.from, err)
			}
			if !slices.ContainsFunc(problems, func(p Problem) bool {
				return p.Line == want && p.Column >= 1 && p.Key == b.key && strings.Contains(p.Reason, b.reason) && p.Err != nil
			}) {
				t.Errorf("%q for %q: want %d: %s: ...%s...\n%v", b.to, b.from, want, b.key, b.reason, err)
			}
		})
	}
}

func TestParse_AllProblemsInOrder(t *testing.T) {
	text := strings.NewReplacer(`number = 1`, `number = 5`, `effect = "keyed"`, `effect = "odd"`, `attempts = 3`, `attempts = 9`,
		`name = "n1"`, `nam = "n1"`).Replace(validTOML)
	_, err := Parse("bad.toml", []byte(text), noEnvironment, false)
	var problems Problems
	if !errors.As(err, &problems) || len(problems) < 4 {
		t.Fatalf("%v", err)
	}
	if !slices.IsSortedFunc(problems, func(a, b Problem) int { return a.Line - b.Line }) ||
		!strings.HasPrefix(err.Error(), `bad.toml:2:1: relay.nam: no such key; did you mean "name"?`) {
		t.Errorf("%v", err)
	}
}

func TestEffectiveSettings_EnvironmentTakesPrecedence(t *testing.T) {
	env := func(name string) string { return map[string]string{"PROXY_LISTEN": "127.0.0.1:7"}[name] }
	text := strings.Replace(validTOML, `listen = "127.0.0.1:5000"`, "", 1)
	c, err := Parse("a.toml", []byte(text), env, false)
	if err != nil || c.Relay.Listen != "127.0.0.1:7" {
		t.Fatalf("%v, %+v", err, c.Relay)
	}
	from := map[string]string{}
	for _, s := range c.EffectiveSettings(env) {
		from[s.Key] = s.Value + " " + s.Source
	}
	for key, want := range map[string]string{"relay.listen": `"127.0.0.1:7" environment PROXY_LISTEN`, "relay.name": `"n1" file`,
		"rules.tick": `"4ms" default`, "class[1].give-up": `"1.8s" file`, "route[0].second-after": `"400ms" file`} {
		if from[key] != want {
			t.Errorf("%s: %s, want %s", key, from[key], want)
		}
	}
}

func TestReference_ExampleAndSchemaCoverEveryKey(t *testing.T) {
	c, err := Parse("example.toml", []byte(ExampleTOML()), noEnvironment, false)
	if err != nil {
		t.Fatalf("%v\n%s", err, ExampleTOML())
	}
	again, err := Parse("again.toml", []byte(c.FormatTOML()), noEnvironment, false)
	if err != nil || again.FormatTOML() != c.FormatTOML() || !strings.Contains(c.FormatTOML(), `give-up = "3.2s"`) {
		t.Fatalf("%v, formatted:\n%s", err, c.FormatTOML())
	}
	text, err := JSONSchema()
	if err != nil {
		t.Fatal(err)
	}
	var schema struct {
		Properties map[string]struct {
			Properties map[string]any
			Items      struct{ Properties map[string]any }
		}
	}
	if err := json.Unmarshal(text, &schema); err != nil {
		t.Fatal(err)
	}
	for _, s := range c.EffectiveSettings(noEnvironment) {
		section, key, _ := strings.Cut(s.Key, ".")
		section, _, _ = strings.Cut(section, "[")
		p := schema.Properties[section]
		if p.Properties[key] == nil && p.Items.Properties[key] == nil {
			t.Errorf("schema lacks %s", s.Key)
		}
	}
}

// The page for operators must contain the current output of `aspenbarrow config keys`.
func TestMarkdownKeys_DocumentedInConfigurationPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), MarkdownKeys()) {
		t.Error("docs/configuration.md does not contain the output of `aspenbarrow config keys`")
	}
}

func TestExplainRoute(t *testing.T) {
	c, err := Parse("a.toml", []byte(validTOML), noEnvironment, false)
	if err != nil {
		t.Fatal(err)
	}
	q, err := c.RoutingRequest(RequestDescription{Class: "sig-fetch", Tenant: "milano", Key: "00000000000000ff", Protocol: "line"})
	if err != nil {
		t.Fatal(err)
	}
	e := c.ExplainRoute(q)
	if got := fmt.Sprint(e); e.Route != "fetches" || !strings.Contains(got, "attempt-timeout 500ms") || !strings.Contains(got, "attempts 3") {
		t.Errorf("%v", got)
	}
	for _, args := range [][5]string{{"sig-fetsh", "", "", "", "line"}, {"sig-fetch", "roma", "", "", "line"},
		{"sig-fetch", "", "7", "", "line"}, {"sig-fetch", "", "", "zz", "line"}, {"sig-fetch", "", "", "", "http"}} {
		if _, err := c.RoutingRequest(description(args)); err == nil {
			t.Errorf("%v is accepted", args)
		}
	}
}

// An accepted policy obeys the rules as this test computes them independently, and the configuration that FormatTOML
// writes has the same routes.
func TestParse_AcceptedPoliciesObeyTheRules(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) string {
			return fmt.Sprintf("%s = \"%dms\"\n", name, rapid.IntRange(0, most).Draw(t, name))
		}
		effect := rapid.SampledFrom([]string{"safe", "keyed", "unsafe"}).Draw(t, "effect")
		text := "[relay]\nlisten = \"127.0.0.1:1\"\n[discovery]\naddress = \"127.0.0.1:2\"\n[[class]]\nname = \"c\"\n" +
			fmt.Sprintf("give-up = \"%dms\"\non-time = \"100ms\"\neffect = %q\n", rapid.IntRange(200, 4000).Draw(t, "give-up"), effect)
		if effect == "keyed" {
			text += fmt.Sprintf("window = \"%dms\"\n", rapid.IntRange(1, 3000).Draw(t, "window"))
		}
		text += "[[route]]\nname = \"r\"\nclass = \"c\"\n" + ms("attempt-timeout", 1500) + ms("backoff", 300) +
			fmt.Sprintf("attempts = %d\n", rapid.IntRange(0, 5).Draw(t, "attempts")) + ms("second-after", 900)
		c, err := Parse("g.toml", []byte(text), noEnvironment, false)
		if err != nil {
			return
		}
		accepted++
		class, timing := c.Relay.Settings.Classes[0], c.Relay.Routes.Lookup(routing.Request{}).RetryPolicy
		n := timing.MaxAttempts
		if n == 0 {
			n = 4
		}
		whole := time.Duration(n) * timing.AttemptTimeout
		for i, wait := 1, timing.BaseBackoff; i < n; i, wait = i+1, 2*wait {
			whole += wait
		}
		if n > 4 || whole > class.ClientTimeout-16*time.Millisecond || timing.HedgeDelay > 0 && (class.Idempotency == balance.NonIdempotent || n < 2) ||
			class.Idempotency == balance.IdempotentWithKey && timing.HedgeDelay >= class.DedupWindow && timing.HedgeDelay > 0 {
			t.Fatalf("accepted: %+v for %+v", timing, class)
		}
		again, err := Parse("w.toml", []byte(c.FormatTOML()), noEnvironment, false)
		if err != nil || !again.Relay.Routes.Equal(c.Relay.Routes) || again.FormatTOML() != c.FormatTOML() {
			t.Fatalf("formatted and parsed again, it differs: %v\n%s", err, c.FormatTOML())
		}
	})
	if accepted < 3 {
		t.Errorf("only %d files were accepted", accepted)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validTOML)
	f.Add(ExampleTOML())
	for _, b := range badFiles {
		f.Add(strings.Replace(validTOML, b.from, b.to, 1))
	}
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse("f.toml", []byte(text), noEnvironment, false)
		if err != nil {
			var problems Problems
			if !errors.As(err, &problems) || len(problems) == 0 || problems[0].Line < 1 || problems[0].Reason == "" {
				t.Fatalf("%#v", err)
			}
			return
		}
		again, err := Parse("w.toml", []byte(c.FormatTOML()), noEnvironment, false)
		if err != nil || again.FormatTOML() != c.FormatTOML() || !again.Relay.Routes.Equal(c.Relay.Routes) {
			t.Fatalf("formatted and parsed again, it differs: %v\n%s", err, c.FormatTOML())
		}
	})
}

// Problems of membership are reported under the key that causes them, and name the key that it conflicts with.
func TestParse_Membership(t *testing.T) {
	const base = "[relay]\nlisten = \"127.0.0.1:5000\"\nrelays = 2\n[discovery]\naddress = \"127.0.0.1:8500\"\n[[class]]\nname = \"a\"\ngive-up = \"2s\"\n"
	const peers = "[rules]\npeers = true\n[peers]\nlisten = \"127.0.0.1:7946\"\naddresses = [\"127.0.0.1:7946\", \"127.0.0.2:7946\"]\n"
	for _, tc := range []struct{ text, key, reason string }{
		{"[membership]\non = true\n", "membership.on", "rules.peers"},
		{"[membership]\non = true\n", "membership.on", "peers.addresses is missing"},
		{strings.ReplaceAll(peers, "127.0.0.2", "127.0.0.1") + "[membership]\non = true\n", "peers.addresses", "membership.on"},
		{strings.Replace(peers, "listen = \"127.0.0.1:7946\"", "listen = \"127.0.0.3:7946\"", 1) + "[membership]\non = true\n", "peers.listen", "membership.on"},
		{peers + "[membership]\non = true\nperiod = \"1s\"\nsuspicion = \"100ms\"\n", "membership.suspicion", "membership.period"},
		{peers + "[membership]\non = true\nperiod = \"1ms\"\n", "membership.period", "must be 100ms"},
		{peers + "[membership]\non = true\nfan-out = 99\n", "membership.fan-out", "1 to 10"},
		{peers + "[membership]\non = true\nforget = \"1s\"\n", "membership.forget", "membership.period"},
		{peers + "[membership]\non = true\nfleet = \"\"\n", "membership.fleet", "1 to 32 bytes"},
		{peers + "[membership]\non = true\n", "", ""},
		{peers + "[membership]\non = false\nperiod = \"1ms\"\n", "", ""},
	} {
		c, err := Parse("f", []byte(base+tc.text), func(string) string { return "" }, false)
		if tc.key == "" {
			if err != nil || (c.Relay.Membership != nil) != strings.Contains(tc.text, "on = true") {
				t.Errorf("%q: %v, %+v", tc.text, err, c.Relay.Membership)
			}
			continue
		}
		var problems Problems
		if !errors.As(err, &problems) ||
			!slices.ContainsFunc(problems, func(p Problem) bool { return p.Key == tc.key && strings.Contains(p.Reason, tc.reason) }) {
			t.Errorf("%q: got %v, want %s: %s", tc.text, err, tc.key, tc.reason)
		}
	}
}
