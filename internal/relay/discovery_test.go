package relay

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/fake"
)

// A watch falls silent, in one way or another, while a drain is told: it is opened anew from the version that was
// heard last, and the drain is acted on well within the 6 s after which it counts as told. Twice in a row is borne.
func TestDiscovery_DrainHeardAfterSilentWatch(t *testing.T) {
	t.Parallel()
	drain := encodeChange(2, "s-1", "draining")
	for _, request := range []bool{false, true} {
		for _, tc := range []struct {
			name  string
			fails func(q *discoveryRequest)
		}{
			{"without a word", func(*discoveryRequest) {}},
			{"headers and no body", func(q *discoveryRequest) { q.writePartial(drain, 40) }},
			{"in the middle of the body", func(q *discoveryRequest) { q.writePartial(drain, -5) }},
			{"reset in the middle of the body", func(q *discoveryRequest) { q.writePartial(drain, -5); _ = q.conn.SetLinger(0); _ = q.conn.Close() }},
			{"ended in the middle of the body", func(q *discoveryRequest) { q.writePartial(drain, -5); _ = q.conn.Close() }},
			{"refused", respondUnavailable},
			{"refused 25 times", respondUnavailable},
		} {
			t.Run(fmt.Sprint(tc.name, " ", request), func(t *testing.T) {
				t.Parallel()
				d := newScriptedDiscovery(t)
				one, two := newScriptedBackend(t), newScriptedBackend(t)
				cfg := plainConfig(d.address(), one.endpoint("s-0"), two.endpoint("s-1"))
				cfg.Settings.PollEndpoints, cfg.Settings.PollInterval = request, time.Minute
				r, _, _ := startRelay(t, cfg)
				if !request {
					q := d.nextRequest()
					if !q.isFullList() {
						t.Fatal("a watch before any list")
					}
					q.respond(fake.EncodeList(1, []fake.Endpoint{one.endpoint("s-0"), two.endpoint("s-1")}))
				}
				silent, times := time.Now(), 2
				if strings.HasSuffix(tc.name, "25 times") { // however many in a row, the watch does not lapse and the pause stays short
					times = 25
				}
				for range times {
					q := d.nextRequest()
					if q.isFullList() || q.URL.Query().Get("index") != "1" {
						t.Fatalf("asked for %v", q.URL)
					}
					if tc.fails(q); times > 2 {
						silent = time.Now() // from the last one on discovery can be reached
					}
				}
				q := d.nextRequest()
				if q.isFullList() || q.URL.Query().Get("index") != "1" {
					t.Fatalf("asked for %v", q.URL)
				}
				q.respond(drain)
				eventually(t, "the drain is heard", isUnavailable(r, "s-1"))
				if took := time.Since(silent); took > 6*time.Second {
					t.Errorf("heard %v after the watch fell silent", took)
				}
			})
		}
	}
}

// Lists come indented, a byte at a time, with fields that nobody knows, or twice; a spoilt entry costs its backend alone.
func TestDiscovery_DrainHeardInAnyEncoding(t *testing.T) {
	t.Parallel()
	for name, body := range map[string]string{
		"indented":       "{\n  \"version\": 2,\n  \"full\": false,\n  \"servers\": [\n    {\n      \"id\": \"s-1\",\n      \"state\": \"draining\"\n    }\n  ]\n}\n",
		"unknown fields": `{"version":2,"newer":{"x":[1]},"full":false,"servers":[{"id":"s-1","state":"draining","colour":3}]}`,
		"doubled":        `{"version":2,"full":false,"servers":[{"id":"s-1","state":"draining"},{"id":"s-1","state":"draining"}]}`,
		"spoilt beside":  `{"version":2,"full":false,"servers":[{"id":"s-0","state":7},{"id":"s-1","state":"draining"},null]}`,
		"older version":  `{"version":0,"full":false,"servers":[{"id":"s-1","state":"draining"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newScriptedDiscovery(t)
			one, two := newScriptedBackend(t), newScriptedBackend(t)
			list := []fake.Endpoint{one.endpoint("s-0"), two.endpoint("s-1")}
			r, _, _ := startRelay(t, plainConfig(d.address(), list...))
			d.nextRequest().respond(fake.EncodeList(1, list))
			q := d.nextRequest()
			text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			for i := range text {
				if _, err := io.WriteString(q.conn, text[i:i+1]); err != nil {
					t.Fatal(err)
				}
			}
			eventually(t, "the drain is heard", isUnavailable(r, "s-1"))
			if next := d.nextRequest(); name == "older version" && !next.isFullList() {
				t.Errorf("an agent that began anew is asked for %v", next.URL)
			}
			expectServed(t, r, one, 5) // s-0 serves on
		})
	}
}
