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

// goldenRelay is a relay in a given state whose metrics all have different values.
type goldenRelay struct {
	state     State
	quiet     bool   // neither shadow evaluation nor membership
	drainCall string // last call of SetDrained, for the golden file
}

func (f *goldenRelay) State() State       { return f.state }
func (f *goldenRelay) SetDrained(on bool) { f.drainCall = fmt.Sprintf(" (Drain %v)", on) }
func (f *goldenRelay) Metrics() metrics.Snapshot {
	out := metrics.Snapshot{Classes: []metrics.ClassCounts{{Name: "chat", Success: 812, Overload: 3, Error: 1}, {Name: "bulk", Success: 90, Overload: 31, Error: 11}},
		Dispatches: 820, Concurrent: 14, Backends: 9, UnavailableBackends: 2, ReloadSuccess: 4, ReloadFailure: 5}
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

// Operators' scripts parse the responses: each command's response in each state must not change by a byte.
func TestExecute_Golden(t *testing.T) {
	var out bytes.Buffer
	for i, state := range []string{"starting", "serving", "drained", "leaving"} {
		for _, quiet := range []bool{false, true} {
			for _, command := range []string{"READY", "DRAIN", "UNDRAIN", "STATS", "WATCH", "MEMBERS", "", "ready", "DRAIN now"} {
				f := &goldenRelay{state: State(i), quiet: quiet}
				response := Execute(command, "\n", f)
				fmt.Fprintf(&out, "--- %s, quiet %v: %q%s\n%s", state, quiet, command, f.drainCall, response)
				if crlf := Execute(command, "\r\n", &goldenRelay{state: State(i), quiet: quiet}); crlf != strings.ReplaceAll(response, "\n", "\r\n") {
					t.Errorf("%q with CRLF: %q", command, crlf)
				}
			}
		}
	}
	goldenText(t, "answers.txt", out.Bytes())
}

// The responses of a running server must not change by a byte either, also to input that is not a command.
func TestServer_WireGolden(t *testing.T) {
	addr := startServer(t, 8)
	var out bytes.Buffer
	for _, input := range []string{"READY\n", "READY\r\n", " READY \n", "READY\nDRAIN\n", "DRAIN\n", "UNDRAIN\r\n", "STATS\r\n", "WATCH\n", "MEMBERS\r\n", "\n", "\r\n", "nothing\n",
		strings.Repeat("x", MaxLineBytes-1) + "\n", strings.Repeat("x", MaxLineBytes) + "\n", "DRAI", ""} {
		c := dial(t, addr)
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.WriteString(c, input); err != nil {
			t.Fatal(err)
		}
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(c)
		if err != nil {
			t.Fatalf("%q: %v", input, err)
		}
		fmt.Fprintf(&out, "%q\n\t%q\n", input, got)
	}
	goldenText(t, "wire.txt", out.Bytes())
}
