package admin

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/metrics"
)

var update = flag.Bool("update", false, "write golden files")

// fixed is a relay in a state of choice whose figures all differ; quiet: nothing is watched, nobody finds out who is there.
type fixed struct {
	state State
	quiet bool
	told  string
}

func (f *fixed) State() State       { return f.state }
func (f *fixed) SetDrained(on bool) { f.told = fmt.Sprintf(" (Drain %v)", on) }
func (f *fixed) Metrics() metrics.Snapshot {
	out := metrics.Snapshot{Classes: []metrics.ClassCounts{{Name: "chat", Success: 812, Overload: 3, Error: 1}, {Name: "bulk", Success: 90, Overload: 31, Error: 11}},
		Dispatches: 820, Concurrent: 14, Targets: 9, TargetsDisabled: 2, ReloadSuccess: 4, ReloadFailure: 5}
	if f.quiet {
		return out
	}
	out.Shadow = &metrics.ShadowSnapshot{Compared: 700, Failed: true}
	for i := range out.Shadow.Counts {
		out.Shadow.Counts[i] = int64(101 + i)
	}
	out.Membership = &metrics.Membership{ActiveRelays: 3, Health: 6, RejectedGossip: 17,
		Members: []membership.Member{
			{Index: 0, Name: "n0", State: "alive", Since: 90 * time.Second, Incarnation: 21, Health: 6},
			{Index: 1, Name: "n1", State: "suspect", Since: 1500 * time.Millisecond, ReportedBy: 2, Incarnation: 22, RoundTrip: 730 * time.Microsecond, Health: 1, DuplicateName: true},
			{Index: 2, Name: "n2", State: "alive", Since: time.Minute, ReportedBy: 2, Incarnation: 23, RoundTrip: 2 * time.Millisecond},
			{Index: 3, Name: "n3", State: "dead", Since: time.Hour, ReportedBy: 1, Incarnation: 24},
			{Index: 4, Name: "n4", State: "left", Since: 2 * time.Hour, ReportedBy: 4, Incarnation: 25},
			{Index: 5, State: "joining", ReportedBy: 5}},
		Counters: membership.Stats{Probes: 201, FailedProbes: 202, IndirectProbes: 203, Refutations: 204, Suspicions: 205, Deaths: 206, Recoveries: 207,
			Stalls: 208, PacketsSent: 209, BytesSent: 210, PacketsReceived: 211, MalformedPackets: 212, ForeignPackets: 213, RejectedIncarnations: 214}}
	return out
}

func goldenText(t *testing.T, name string, got []byte) {
	t.Helper()
	name = filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(name, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// Staff's scripts read the answers: each call in each state is answered as it was, byte for byte.
func TestExecute_Golden(t *testing.T) {
	var out bytes.Buffer
	for i, state := range []string{"starting", "serving", "drained", "leaving"} {
		for _, quiet := range []bool{false, true} {
			for _, call := range []string{"READY", "DRAIN", "UNDRAIN", "STATS", "WATCH", "MEMBERS", "", "ready", "DRAIN now"} {
				f := &fixed{state: State(i), quiet: quiet}
				answer := Execute(call, "\n", f)
				fmt.Fprintf(&out, "--- %s, quiet %v: %q%s\n%s", state, quiet, call, f.told, answer)
				if crlf := Execute(call, "\r\n", &fixed{state: State(i), quiet: quiet}); crlf != strings.ReplaceAll(answer, "\n", "\r\n") {
					t.Errorf("%q with CRLF: %q", call, crlf)
				}
			}
		}
	}
	goldenText(t, "answers.txt", out.Bytes())
}

// The same on the wire, with what never becomes a call.
func TestServer_WireGolden(t *testing.T) {
	addr := served(t, 8)
	var out bytes.Buffer
	for _, said := range []string{"READY\n", "READY\r\n", " READY \n", "READY\nDRAIN\n", "DRAIN\n", "UNDRAIN\r\n", "STATS\r\n", "WATCH\n", "MEMBERS\r\n", "\n", "\r\n", "nothing\n",
		strings.Repeat("x", MaxLineBytes-1) + "\n", strings.Repeat("x", MaxLineBytes) + "\n", "DRAI", ""} {
		c := dialled(t, addr)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(c, said); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c)
		if err != nil {
			t.Fatalf("%q: %v", said, err)
		}
		fmt.Fprintf(&out, "%q\n\t%q\n", said, got)
	}
	goldenText(t, "wire.txt", out.Bytes())
}
