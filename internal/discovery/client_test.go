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

// newTestClient returns a client that polls for lists, or else one to which lists are pushed.
func newTestClient(poll bool) *Client {
	s := clientSettings()
	s.PollEndpoints = poll
	return NewClient("d:1", &s, false, rand.New(rand.NewPCG(1, 1)))
}

// A version that goes back means that discovery has restarted: the client fetches the whole list, so that it receives what
// was published in between.
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

// With polled lists, the first call of a starting relay is a watch from the version of its cached list. If it made two calls,
// one for the whole list and then a watch, discovery, which has capacity for one call per relay, would refuse half of the
// watches, and drains would not be received.
func TestClient_ResumesFromKnownVersion(t *testing.T) {
	client := newTestClient(true)
	client.ResumeFrom(41)
	client.Schedule(true)
	if request, ok := client.NextRequest(); !ok || request.FullList || !strings.HasPrefix(request.Query, "index=41&") {
		t.Fatalf("%+v, %v", request, ok)
	}
	if update, err := client.HandleResponse([]byte(`{"version":41,"full":false,"servers":[]}`)); err != nil || !update.Changed {
		t.Errorf("the first response is not an update: %+v, %v", update, err)
	}
	if request, ok := client.NextRequest(); !ok || request.FullList {
		t.Errorf("the next call is not a watch: %+v, %v", request, ok)
	}
	pushed := newTestClient(false) // where lists are pushed, fetching the whole list costs nothing, and it may be newer
	pushed.ResumeFrom(41)
	if request, ok := pushed.NextRequest(); !ok || !request.FullList {
		t.Errorf("%+v, %v", request, ok)
	}
}

// A watch that has timed out is renewed at once: between two watches drains count as published although no client receives
// them.
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

// Whatever the outcome of earlier calls, a change is received within 6 s of the time from which discovery can be reached, and
// a relay whose calls fail at once makes few of them. All sequences of five outcomes of a call are tried, from each state in
// which a client may be when they begin.
func TestClient_BoundsStalenessAfterFailures(t *testing.T) {
	const drain = `{"version":9,"full":false,"servers":[{"id":"b","state":"draining"}]}`
	outcomes := []struct {
		name     string
		duration func(limit time.Duration) time.Duration
		timedOut bool
		body     string
	}{
		{name: "refused", duration: func(time.Duration) time.Duration { return 0 }},
		{name: "dial timed out", duration: func(limit time.Duration) time.Duration { return min(limit, ResponseGrace) }, timedOut: true},
		{name: "no response, only headers or half a body until the time limit", duration: func(limit time.Duration) time.Duration { return limit }, timedOut: true},
		{name: "connection lost just before the time limit", duration: func(limit time.Duration) time.Duration { return limit - time.Millisecond }},
		{name: "body is not a list", duration: func(time.Duration) time.Duration { return time.Millisecond }, body: "<html>"},
		{name: "an invalid endpoint", duration: func(limit time.Duration) time.Duration { return limit - time.Millisecond },
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
		"address changed": func(poll bool, rng *rand.Rand) *Client { return newWatchingClient(poll, true, rng) },
	}
	const callsBefore = 5
	worst, count := time.Duration(0), 1
	for range callsBefore {
		count *= len(outcomes)
	}
	for name, newClient := range states {
		for _, poll := range []bool{false, true} {
			for sequence := range count {
				client := newClient(poll, rand.New(rand.NewPCG(uint64(sequence), 1)))
				var took time.Duration // from the start of the last failed call, which began just before the change
				for remaining, step := sequence, 0; step < callsBefore; remaining, step = remaining/len(outcomes), step+1 {
					call, ok := client.NextRequest()
					if !ok {
						t.Fatalf("%s, polled %v, sequence %d: no further call after %d", name, poll, sequence, step)
					}
					outcome := outcomes[remaining%len(outcomes)]
					var update Update
					if outcome.body != "" {
						update, _ = client.HandleResponse([]byte(outcome.body))
					} else {
						update = client.HandleFailure(outcome.timedOut)
					}
					took = outcome.duration(call.Timeout) + update.RetryDelay
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
	for _, poll := range []bool{false, true} { // the rate of calls, while discovery refuses every call at once for 30 s
		client, now, calls := states["between two watches"](poll, rand.New(rand.NewPCG(7, 1))), time.Duration(0), 0
		for ; now < 30*time.Second; calls++ {
			if _, ok := client.NextRequest(); !ok {
				t.Fatalf("polled %v: no call after %v", poll, now)
			}
			now += client.HandleFailure(false).RetryDelay
		}
		if calls > 40 {
			t.Errorf("polled %v: %d calls in %v while discovery refuses all", poll, calls, now)
		}
	}
}

// newWatchingClient returns a client with a watch scheduled.
func newWatchingClient(poll, addressChanged bool, rng *rand.Rand) *Client {
	s := clientSettings()
	s.PollEndpoints = poll
	client := NewClient("d:1", &s, addressChanged, rng)
	client.Schedule(true)
	return client
}

// A watch that is scheduled during a call that then fails is not lost: otherwise no further change is received, as in
// seed 284.
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
		t.Errorf("no watch follows the list: %+v, %v", request, ok)
	}
}
