package protocol

import (
	"fmt"
	"strings"
	"testing"

	"aspenbarrow/internal/golden"
)

// goldenKinds are the names of the kinds of line in the golden file.
var goldenKinds = map[LineKind]string{KindIncomplete: "need more", KindPing: "pinged", KindOpen: "opened", KindForward: "passed", KindUp: "up", KindBye: "bye", KindMove: "moved",
	KindError: "failed", KindBusy: "busy", KindSyntax: "unread", KindUnknown: "odd"}

// goldenClientLines returns PING and STATS lines, OPEN lines with each parameter, and lines that are refused.
func goldenClientLines() []string {
	lines := []string{"", "PING", "PING\r\n", "PING now\r\n", "STATS\r\n", "STATS x\r\nPING\r\n", "PING\n", "\r\n", "PINGS\r\n", "ping\r\n",
		strings.Repeat("x", MaxLineLength), "PING " + strings.Repeat("x", MaxLineLength-7) + "\r\n", "PING " + strings.Repeat("x", MaxLineLength-6) + "\r\n",
		"OPEN\r\n", "OPEN 9b1f03aa5c7e2d4 7f3a9c21e0b4d655 c=chat,d=1\r\n", "OPEN 9B1F03AA5C7E2D41 7f3a9c21e0b4d655 c=chat,d=1\r\n",
		"OPEN 9b1f03aa5c7e2d41 7f3a c=chat,d=1\r\n", "open 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,d=1\r\n"}
	for _, rest := range []string{"c=chat,d=1500", "c=order,d=1500.5,g=5c0f6e1a2b3d4c59,t=bolt,h=2.5,r=1,again=1,mid=1,new=x", "c=chat,d=30000,at=s-1",
		"d=1,c=chat,t=nobody,r=0,again=0,mid=0", "c=cat,d=1", "d=1", "c=chat", "c=chat,d=1 x", "c", "c=chat,d=", "c=chat,d=1,", "c=chat,d=-1", "c=chat,d=1e3",
		"c=chat,d=.5", "c=chat,d=9999999999999", "c=chat,d=1,h=1e3", "c=chat,d=1,r=2", "c=chat,d=1,again=x", "c=chat,d=1,g=x", "c=chat,d=1,g=5C0F6E1A2B3D4C59",
		"c=chat,d=1,c=chat", "c=chat,d=1,new=a=b", "c=chat,d=1,mid=1,at=s", "c=chat,d=1,new=" + strings.Repeat("x", maxWordLength+1),
		"c=chat,d=1" + strings.Repeat(",n=1", maxParameters)} {
		lines = append(lines, idAndKey+rest+"\r\n")
	}
	return append(lines, idAndKey+"c=chat,d=1500\r\nhello\r\n", idAndKey+"c=chat,d=1500\n")
}

// abbreviate quotes a line, or the beginning of a long one.
func abbreviate(s string) string {
	if q := fmt.Sprintf("%q", s); len(q) <= 160 {
		return q
	}
	return fmt.Sprintf("%.60q... of %d bytes", s, len(s))
}

// The result of parsing each line is that of the golden file.
func TestReaders_Golden(t *testing.T) {
	var out strings.Builder
	writeClientLines(&out)
	writeFirstBackendLines(&out)
	writeLaterBackendLines(&out)
	golden.Compare(t, "lines.txt", out.String())
}

func writeClientLines(out *strings.Builder) {
	withoutPassThrough := *testSettings
	withoutPassThrough.PassThrough = false
	fmt.Fprintln(out, "# clients")
	for _, line := range goldenClientLines() {
		reader := ClientReader{Settings: testSettings}
		kind, length, err := reader.Feed([]byte(line))
		fmt.Fprintf(out, "%s: %s, %d bytes, %v\n", abbreviate(line), goldenKinds[kind], length, err)
		if kind == KindOpen {
			o, r := &reader.Open, &reader.Open.Request
			fmt.Fprintf(out, "  id %x, class %d, tenant %d, key %x, group %x, load %v, repeat %v, back %v, mid-flow %v, at %q, waits %v, d is %q, length %d\n",
				o.ID, r.Class, r.Tenant, r.Key, r.Group, r.ExpectedLoad, r.ClientRetry, r.Reconnecting, r.MidStream,
				o.Holder, o.Timeout, o.Line[o.timeoutStart:o.timeoutEnd], o.Len())
			kind, _, err := reader.Feed([]byte("one\r\ntwo\nthr"))
			fmt.Fprintf(out, "  then lines are %s, %v\n", goldenKinds[kind], err)
		}
		if strings.Contains(line, "mid=") {
			_, err := ParseOpen([]byte(line), &withoutPassThrough)
			fmt.Fprintf(out, "  where no packets pass through: %v\n", err)
		}
	}
}

func writeFirstBackendLines(out *strings.Builder) {
	fmt.Fprintln(out, "# first lines of a backend")
	for _, line := range []string{"", "UP", "UP\r\n", "UP r1\r\nmore", "UP\n", "UPPER\r\n", "BYE\r\n", "BYE utilization=0.5,x0=1\r\n", "MOVE\r\n", "MOVE now\r\n",
		"ERR\r\n", "ERR x0=1,utilization=0.25\r\n", "BUSY\r\n", "BUSY 20\r\n", "BUSY x0=0.9,utilization=0.61,new=7\r\n", "BUSY x0=0.9\r\n",
		"BUSY x0=0.9,utilization=NaN\r\n", "BUSY x0=1e-1,utilization=-2\r\n", "SYNTAX\r\n", "PONG\r\n", "\r\n", strings.Repeat("x", MaxLineLength)} {
		reader := BackendReader{ReportFields: testSettings.ReportFieldNames}
		kind, length, err := reader.Feed([]byte(line))
		fmt.Fprintf(out, "%s: %s, %d bytes, report %v, %v\n", abbreviate(line), goldenKinds[kind], length, reader.Report, err)
	}
}

func writeLaterBackendLines(out *strings.Builder) {
	lastKinds := map[LineKind]string{KindIncomplete: "none", KindBye: "bye", KindMove: "moved"}
	fmt.Fprintln(out, "# later lines of a backend")
	for _, line := range []string{"hello", "hello\r\nLOAD 12.5\r\nBY", "LOAD 3\n", "LOAD 0\r\n", "LOAD x\r\n", "LOAD 1\r\nLOAD 2\r\n", "LOADS 3\r\n", "BYE\r\n", "BYE x0=1\r\n",
		"BYEBYE\r\n", "MOVE\r\n", "MOVE\r\nBYE\r\n", "BYE\r\nMOVE\r\n", "bye\r\n", strings.Repeat("x", MaxLineLength)} {
		reader := BackendReader{Established: true}
		kind, length, err := reader.Feed([]byte(line))
		fmt.Fprintf(out, "%s: %s, %d bytes, last %s, load %v, %v\n", abbreviate(line), goldenKinds[kind], length,
			lastKinds[reader.LastKind], reader.Load, err)
	}
}
