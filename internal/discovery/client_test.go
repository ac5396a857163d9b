package discovery

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

const threeBackends = `{"version":1,"full":true,"servers":[` +
	`{"id":"a","addr":"h:1","state":"ready","weight":1},` +
	`{"id":"b","addr":"h:2","state":"ready","weight":1},` +
	`{"id":"c","addr":"h:3","state":"ready","weight":1}]}`

func clientSettings() settings.Settings {
	return settings.Settings{ZoneNames: []string{"east"}, KindNames: []string{"k"}}
}

func TestParseMembers(t *testing.T) {
	m, err := ParseEndpoints([]byte(`{"version":41,"full":true,"servers":[
{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},
{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},
{"id":"s-3","state":"gone"}]}`), names)
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := m.Endpoints[0], m.Endpoints[1], m.Endpoints[2]
	if m.Version != 41 || !m.Full || a.Name != "s-1" || a.Address != "127.0.0.1:1" || a.Backend.Zone != 1 || a.Backend.Kind != 0 ||
		a.Backend.Cell != 3 || a.Backend.Weight != 1.5 || a.Backend.State != balance.StateReady ||
		a.Backend.ReadyAt != 1700000000000*time.Millisecond || a.Backend.ID != BackendID("s-1") {
		t.Errorf("%+v", a)
	}
	if b.Backend.Zone < 2 || b.Backend.Kind < 1 || b.Backend.State != balance.StateDraining || b.Backend.ReadyAt != 0 ||
		c.Backend.State != balance.StateRemoved {
		t.Errorf("%+v, %+v", b, c)
	}
	for _, bad := range []string{"", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`,
		`{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		if _, err := ParseEndpoints([]byte(bad), names); err == nil {
			t.Errorf("%s is taken", bad)
		}
	}
}

func FuzzMembers(f *testing.F) {
	f.Add([]byte(`{"version":1,"full":true,"servers":[{"id":"s","addr":"a:1","state":"ready","zone":1,"kind":{}}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := ParseEndpoints(b, names)
		if err != nil && len(m.Endpoints) != 0 {
			t.Errorf("%d entries beside %v", len(m.Endpoints), err)
		}
	})
}

// Lists as discovery writes them are read to what they were.
func TestCodec_GoldenMembers(t *testing.T) {
	var out strings.Builder
	for _, text := range []string{`{"version":41,"full":true,"servers":[` +
		`{"id":"s-1","addr":"127.0.0.1:1","zone":"west","kind":"k","cell":3,"state":"ready","weight":1.5,"started_ms":1700000000000},` +
		`{"id":"s-2","addr":"127.0.0.1:2","zone":"moon","kind":"z","state":"draining"},{"id":"s-3","state":"gone"}]}`,
		`{"version":1,"servers":[]}`, "", "null", "[]", `{"servers":[]}`, `{"version":-1}`,
		`{"version":1,"servers":[{"id":"s","addr":"a:1","state":"asleep"}]}`, `{"version":1,"servers":[{"id":"","addr":"a:1","state":"ready"}]}`,
		`{"version":1,"servers":[{"id":"s","state":"ready"}]}`} {
		m, err := ParseEndpoints([]byte(text), names)
		fmt.Fprintf(&out, "%s\n  version %d, full %v, refused %v\n", text, m.Version, m.Full, err != nil)
		for _, e := range m.Endpoints {
			l := &e.Backend
			fmt.Fprintf(&out, "  %s at %q: id %x, %s, zone %d, cell %d, weight %v, kind %d, ready at %v\n", e.Name, e.Address, uint64(l.ID),
				map[balance.BackendState]string{balance.StateRemoved: "gone", balance.StateReady: "ready", balance.StateDraining: "draining"}[l.State],
				l.Zone, l.Cell, l.Weight, l.Kind, l.ReadyAt)
		}
	}
	golden(t, "members.txt", out.String())
}

// asks is an agent of a relay whose lists come on request, or unasked.
func asks(request bool) *Client {
	s := clientSettings()
	s.PollEndpoints = request
	return NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
}

// Versions that go back are those of an agent that has begun anew: what it knew in between is asked for.
func TestAnAgentThatBeganAnewIsAskedForAll(t *testing.T) {
	for _, request := range []bool{false, true} {
		a := asks(request)
		a.Schedule(true)
		a.NextRequest()
		if _, err := a.HandleResponse([]byte(threeBackends)); err != nil {
			t.Fatal(err)
		}
		a.NextRequest()
		if _, err := a.HandleResponse([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil {
			t.Fatal(err)
		}
		if c, _ := a.NextRequest(); c.FullList || !strings.HasPrefix(c.Query, "index=41&") {
			t.Fatalf("%+v", c)
		}
		if _, err := a.HandleResponse([]byte(`{"version":2,"full":false,"servers":[{"id":"b","state":"draining"}]}`)); err != nil {
			t.Fatal(err)
		}
		if c, ok := a.NextRequest(); !ok || !c.FullList {
			t.Errorf("on request %v: %+v, %v", request, c, ok)
		}
	}
}

// Where lists are asked for, a whole list and then a watch were two calls of each relay that starts; discovery has room
// for one of each, turned half of the watches away, and drains were not heard of.
func TestAStartingRelayMakesOneCallWhereListsAreAskedFor(t *testing.T) {
	a := asks(true)
	a.ResumeFrom(41)
	a.Schedule(true)
	if c, ok := a.NextRequest(); !ok || c.FullList || !strings.HasPrefix(c.Query, "index=41&") {
		t.Fatalf("%+v, %v", c, ok)
	}
	if news, err := a.HandleResponse([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil || !news.Changed {
		t.Errorf("the first word of discovery is no news: %+v, %v", news, err)
	}
	if c, ok := a.NextRequest(); !ok || c.FullList {
		t.Errorf("the watch does not go on: %+v, %v", c, ok)
	}
	b := asks(false) // where changes come unasked the whole list costs nothing, and may be newer
	b.ResumeFrom(41)
	if c, ok := b.NextRequest(); !ok || !c.FullList {
		t.Errorf("%+v, %v", c, ok)
	}
}

// A watch that has fallen silent is opened anew at once: between two watches drains count as told, unheard.
func TestASilentWatchIsOpenedAnewAtOnce(t *testing.T) {
	for _, request := range []bool{false, true} {
		a := asks(request)
		a.ResumeFrom(1)
		a.Schedule(true)
		a.NextRequest()
		if _, err := a.HandleResponse([]byte(threeBackends)); err != nil {
			t.Fatal(err)
		}
		for range 12 {
			if c, ok := a.NextRequest(); !ok || c.FullList {
				t.Fatalf("%+v, %v", c, ok)
			}
			if news := a.HandleFailure(true); news.RetryDelay != 0 || news.Changed {
				t.Errorf("on request %v: %+v", request, news)
			}
		}
	}
}

// Whatever became of the calls before, and of as many as may be: from the moment from which discovery can be reached what
// it has is heard within 6 s, and a relay that is turned away at once does not hammer. All sequences of five endings of a
// call, from each state in which a relay may be when they begin.
func TestAChangeIsHeardInTimeAfterAnyFailures(t *testing.T) {
	const drain = `{"version":9,"full":false,"servers":[{"id":"b","state":"draining"}]}`
	endings := []struct {
		name   string
		lasts  func(limit time.Duration) time.Duration
		silent bool
		body   string
	}{
		{name: "refused", lasts: func(time.Duration) time.Duration { return 0 }},
		{name: "a dial that never comes up", lasts: func(limit time.Duration) time.Duration { return min(limit, ResponseGrace) }, silent: true},
		{name: "no word, or headers, or half a body, to the end", lasts: func(limit time.Duration) time.Duration { return limit }, silent: true},
		{name: "broken off just before the end", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond }},
		{name: "no list", lasts: func(time.Duration) time.Duration { return time.Millisecond }, body: "<html>"},
		{name: "a spoilt entry", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond },
			body: `{"version":3,"full":false,"servers":[{"id":"x","state":7}]}`},
	}
	states := map[string]func(request bool, rng *rand.Rand) *Client{
		"before the first list": func(request bool, rng *rand.Rand) *Client { return asksBy(request, false, rng) },
		"with the configuration's list": func(request bool, rng *rand.Rand) *Client {
			a := asksBy(request, false, rng)
			a.ResumeFrom(1)
			return a
		},
		"between two watches": func(request bool, rng *rand.Rand) *Client {
			a := asksBy(request, false, rng)
			a.NextRequest()
			if _, err := a.HandleResponse([]byte(threeBackends)); err != nil {
				t.Fatal(err)
			}
			return a
		},
		"moved to another agent": func(request bool, rng *rand.Rand) *Client { return asksBy(request, true, rng) },
	}
	const long = 5
	worst, count := time.Duration(0), 1
	for range long {
		count *= len(endings)
	}
	for name, begin := range states {
		for _, request := range []bool{false, true} {
			for sequence := range count {
				a := begin(request, rand.New(rand.NewPCG(uint64(sequence), 1)))
				var took time.Duration // from the beginning of the call that came just too early
				for left, step := sequence, 0; step < long; left, step = left/len(endings), step+1 {
					call, ok := a.NextRequest()
					if !ok {
						t.Fatalf("%s, on request %v, sequence %d: no further call after %d", name, request, sequence, step)
					}
					e := endings[left%len(endings)]
					var news Update
					if e.body != "" {
						news, _ = a.HandleResponse([]byte(e.body))
					} else {
						news = a.HandleFailure(e.silent)
					}
					took = e.lasts(call.Timeout) + news.RetryDelay
				}
				call, ok := a.NextRequest()
				if !ok {
					t.Fatalf("%s, on request %v, sequence %d: no call at the end", name, request, sequence)
				}
				if news, err := a.HandleResponse([]byte(drain)); err != nil || !news.Changed || len(news.Endpoints.Endpoints) != 1 {
					t.Fatalf("%s, on request %v, sequence %d: %+v, %v", name, request, sequence, news, err)
				}
				if call.FullList {
					took += call.Timeout
				}
				worst = max(worst, took)
			}
		}
	}
	if worst > maxStaleness-time.Second || worst > worstStaleness || worst < worstStaleness-listTimeout-maxRetryDelay/2 {
		t.Errorf("heard after %v at worst, %v derived, %v allowed", worst, worstStaleness, maxStaleness)
	}
	for _, request := range []bool{false, true} { // and at rest: half a minute of an agent that turns all away at once
		a, now, calls := states["between two watches"](request, rand.New(rand.NewPCG(7, 1))), time.Duration(0), 0
		for ; now < 30*time.Second; calls++ {
			if _, ok := a.NextRequest(); !ok {
				t.Fatalf("on request %v: no call after %v", request, now)
			}
			now += a.HandleFailure(false).RetryDelay
		}
		if calls > 40 {
			t.Errorf("on request %v: %d calls in %v at an agent that turns all away", request, calls, now)
		}
	}
}

// asksBy is an agent whose module has asked for a watch.
func asksBy(request, moved bool, rng *rand.Rand) *Client {
	s := clientSettings()
	s.PollEndpoints = request
	a := NewClient("d:1", &s, moved, rng)
	a.Schedule(true)
	return a
}

// Seed 284: a watch that the module asked for while a call was out that then failed was forgotten, and the
// module never heard of a change again.
func TestAWatchAskedForDuringAFailingCallIsMade(t *testing.T) {
	s := clientSettings()
	s.PollEndpoints = true
	a := NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if _, ok := a.NextRequest(); ok {
		t.Fatal("a call that nobody asked for")
	}
	a.Schedule(true)
	for range 4 {
		if c, ok := a.NextRequest(); !ok || !c.FullList {
			t.Fatalf("%+v, %v", c, ok)
		}
		if n := a.HandleFailure(false); n.Changed || n.RetryDelay <= 0 {
			t.Fatalf("%+v", n)
		}
	}
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Fatalf("%+v, %v", c, ok)
	}
	a.Schedule(true)
	if n := a.HandleFailure(false); n.Changed || n.RetryDelay <= 0 {
		t.Fatalf("%+v", n)
	}
	if c, ok := a.NextRequest(); !ok || !c.FullList {
		t.Fatalf("%+v, %v", c, ok)
	}
	if _, err := a.HandleResponse([]byte(threeBackends)); err != nil {
		t.Fatal(err)
	}
	if c, ok := a.NextRequest(); !ok || c.FullList {
		t.Errorf("no watch goes on after the list: %+v, %v", c, ok)
	}
}
