package discovery

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/settings"
)

const threeBackends = `{"version":1,"full":true,"servers":[` +
	`{"id":"a","addr":"h:1","state":"ready","weight":1},` +
	`{"id":"b","addr":"h:2","state":"ready","weight":1},` +
	`{"id":"c","addr":"h:3","state":"ready","weight":1}]}`

func clientSettings() settings.Settings {
	return settings.Settings{ZoneNames: []string{"east"}, KindNames: []string{"k"}}
}

// newTestClient is a client whose lists are polled, or pushed.
func newTestClient(poll bool) *Client {
	s := clientSettings()
	s.PollEndpoints = poll
	return NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
}

// Versions that go back are those of a discovery that has started anew: what it published in between is fetched.
func TestClient_FetchesListWhenVersionGoesBack(t *testing.T) {
	for _, poll := range []bool{false, true} {
		client := newTestClient(poll)
		client.Schedule(true)
		client.NextRequest()
		if _, err := client.HandleResponse([]byte(threeBackends)); err != nil {
			t.Fatal(err)
		}
		client.NextRequest()
		if _, err := client.HandleResponse([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil {
			t.Fatal(err)
		}
		if request, _ := client.NextRequest(); request.FullList || !strings.HasPrefix(request.Query, "index=41&") {
			t.Fatalf("%+v", request)
		}
		if _, err := client.HandleResponse([]byte(`{"version":2,"full":false,"servers":[{"id":"b","state":"draining"}]}`)); err != nil {
			t.Fatal(err)
		}
		if request, ok := client.NextRequest(); !ok || !request.FullList {
			t.Errorf("polled %v: %+v, %v", poll, request, ok)
		}
	}
}

// Where lists are polled, a whole list and then a watch were two calls of each relay that starts; discovery has room
// for one of each, turned half of the watches away, and drains were not received.
func TestClient_ResumesFromKnownVersion(t *testing.T) {
	client := newTestClient(true)
	client.ResumeFrom(41)
	client.Schedule(true)
	if request, ok := client.NextRequest(); !ok || request.FullList || !strings.HasPrefix(request.Query, "index=41&") {
		t.Fatalf("%+v, %v", request, ok)
	}
	if update, err := client.HandleResponse([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil || !update.Changed {
		t.Errorf("the first response is no update: %+v, %v", update, err)
	}
	if request, ok := client.NextRequest(); !ok || request.FullList {
		t.Errorf("the watch does not go on: %+v, %v", request, ok)
	}
	pushed := newTestClient(false) // where lists are pushed the whole list costs nothing, and may be newer
	pushed.ResumeFrom(41)
	if request, ok := pushed.NextRequest(); !ok || !request.FullList {
		t.Errorf("%+v, %v", request, ok)
	}
}

// A watch that has timed out is renewed at once: between two watches drains count as published, though nobody received them.
func TestClient_RenewsTimedOutWatchAtOnce(t *testing.T) {
	for _, poll := range []bool{false, true} {
		client := newTestClient(poll)
		client.ResumeFrom(1)
		client.Schedule(true)
		client.NextRequest()
		if _, err := client.HandleResponse([]byte(threeBackends)); err != nil {
			t.Fatal(err)
		}
		for range 12 {
			if request, ok := client.NextRequest(); !ok || request.FullList {
				t.Fatalf("%+v, %v", request, ok)
			}
			if update := client.HandleFailure(true); update.RetryDelay != 0 || update.Changed {
				t.Errorf("polled %v: %+v", poll, update)
			}
		}
	}
}

// However earlier calls ended, a change is received within 6 s of the moment from which discovery can be reached, and a
// relay whose calls fail at once doesn't make many. All sequences of five endings of a call are tried, from each state in
// which a client may be when they begin.
func TestClient_BoundsStalenessAfterFailures(t *testing.T) {
	const drain = `{"version":9,"full":false,"servers":[{"id":"b","state":"draining"}]}`
	endings := []struct {
		name     string
		lasts    func(limit time.Duration) time.Duration
		timedOut bool
		body     string
	}{
		{name: "refused", lasts: func(time.Duration) time.Duration { return 0 }},
		{name: "a dial that never comes up", lasts: func(limit time.Duration) time.Duration { return min(limit, ResponseGrace) }, timedOut: true},
		{name: "no word, or headers, or half a body, to the end", lasts: func(limit time.Duration) time.Duration { return limit }, timedOut: true},
		{name: "broken off just before the end", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond }},
		{name: "no list", lasts: func(time.Duration) time.Duration { return time.Millisecond }, body: "<html>"},
		{name: "an invalid endpoint", lasts: func(limit time.Duration) time.Duration { return limit - time.Millisecond },
			body: `{"version":3,"full":false,"servers":[{"id":"x","state":7}]}`},
	}
	states := map[string]func(poll bool, rng *rand.Rand) *Client{
		"before the first list": func(poll bool, rng *rand.Rand) *Client { return newWatchingClient(poll, false, rng) },
		"with the configuration's list": func(poll bool, rng *rand.Rand) *Client {
			client := newWatchingClient(poll, false, rng)
			client.ResumeFrom(1)
			return client
		},
		"between two watches": func(poll bool, rng *rand.Rand) *Client {
			client := newWatchingClient(poll, false, rng)
			client.NextRequest()
			if _, err := client.HandleResponse([]byte(threeBackends)); err != nil {
				t.Fatal(err)
			}
			return client
		},
		"moved to another address": func(poll bool, rng *rand.Rand) *Client { return newWatchingClient(poll, true, rng) },
	}
	const callsBefore = 5
	worst, count := time.Duration(0), 1
	for range callsBefore {
		count *= len(endings)
	}
	for name, begin := range states {
		for _, poll := range []bool{false, true} {
			for sequence := range count {
				client := begin(poll, rand.New(rand.NewPCG(uint64(sequence), 1)))
				var took time.Duration // from the beginning of the call that came just too early
				for left, step := sequence, 0; step < callsBefore; left, step = left/len(endings), step+1 {
					call, ok := client.NextRequest()
					if !ok {
						t.Fatalf("%s, polled %v, sequence %d: no further call after %d", name, poll, sequence, step)
					}
					e := endings[left%len(endings)]
					var update Update
					if e.body != "" {
						update, _ = client.HandleResponse([]byte(e.body))
					} else {
						update = client.HandleFailure(e.timedOut)
					}
					took = e.lasts(call.Timeout) + update.RetryDelay
				}
				call, ok := client.NextRequest()
				if !ok {
					t.Fatalf("%s, polled %v, sequence %d: no call at the end", name, poll, sequence)
				}
				if update, err := client.HandleResponse([]byte(drain)); err != nil || !update.Changed || len(update.Endpoints.Endpoints) != 1 {
					t.Fatalf("%s, polled %v, sequence %d: %+v, %v", name, poll, sequence, update, err)
				}
				if call.FullList {
					took += call.Timeout
				}
				worst = max(worst, took)
			}
		}
	}
	if worst > maxStaleness-time.Second || worst > worstStaleness || worst < worstStaleness-listTimeout-maxRetryDelay/2 {
		t.Errorf("received after %v at worst, %v derived, %v allowed", worst, worstStaleness, maxStaleness)
	}
	for _, poll := range []bool{false, true} { // and at rest: half a minute of a discovery that refuses every call at once
		client, now, calls := states["between two watches"](poll, rand.New(rand.NewPCG(7, 1))), time.Duration(0), 0
		for ; now < 30*time.Second; calls++ {
			if _, ok := client.NextRequest(); !ok {
				t.Fatalf("polled %v: no call after %v", poll, now)
			}
			now += client.HandleFailure(false).RetryDelay
		}
		if calls > 40 {
			t.Errorf("polled %v: %d calls in %v at a discovery that refuses all", poll, calls, now)
		}
	}
}

// newWatchingClient is a client that a watch is scheduled with.
func newWatchingClient(poll, moved bool, rng *rand.Rand) *Client {
	s := clientSettings()
	s.PollEndpoints = poll
	client := NewClient("d:1", &s, moved, rng)
	client.Schedule(true)
	return client
}

// Seed 284: a watch that was scheduled while a call was out that then failed was forgotten, and no change was received
// again.
func TestClient_WatchScheduledDuringFailingCall(t *testing.T) {
	s := clientSettings()
	s.PollEndpoints = true
	client := NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
	if _, ok := client.NextRequest(); ok {
		t.Fatal("a call that was not scheduled")
	}
	client.Schedule(true)
	for range 4 {
		if request, ok := client.NextRequest(); !ok || !request.FullList {
			t.Fatalf("%+v, %v", request, ok)
		}
		if update := client.HandleFailure(false); update.Changed || update.RetryDelay <= 0 {
			t.Fatalf("%+v", update)
		}
	}
	if request, ok := client.NextRequest(); !ok || !request.FullList {
		t.Fatalf("%+v, %v", request, ok)
	}
	client.Schedule(true)
	if update := client.HandleFailure(false); update.Changed || update.RetryDelay <= 0 {
		t.Fatalf("%+v", update)
	}
	if request, ok := client.NextRequest(); !ok || !request.FullList {
		t.Fatalf("%+v, %v", request, ok)
	}
	if _, err := client.HandleResponse([]byte(threeBackends)); err != nil {
		t.Fatal(err)
	}
	if request, ok := client.NextRequest(); !ok || request.FullList {
		t.Errorf("no watch goes on after the list: %+v, %v", request, ok)
	}
}
