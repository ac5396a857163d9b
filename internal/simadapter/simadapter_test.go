package simadapter

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settingsJSON = `{"classes": [{"effect": "read_like", "give-up-ms": 2000, "on-time-ms": 500}], "n-instances": 1,
"tick-ms": 4, "limits": {"try-limit": 4}}`

func batchFrame(ms float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(16+len(body)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(ms))
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func selectInstance(id uint32) []byte { return binary.BigEndian.AppendUint32([]byte{120}, id) }

func configure(text string) []byte {
	b := binary.BigEndian.AppendUint64([]byte{30}, 1)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

func endpointList() []byte {
	b := append([]byte{70}, 0, 0, 0, 0, 0, 0, 0, 1)
	b = append(b, 1, 0, 0, 0, 0, 0x3f, 0x80, 0, 0, 10, 0, 0, 1, 0, 80, 0, 0)
	return append(b, make([]byte, 8)...)
}

func endpointsUpdated() []byte { return append([]byte{50, 2}, make([]byte, 12)...) }

func requestArrived(id uint64) []byte {
	b := append(binary.BigEndian.AppendUint64([]byte{130}, id), 0, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, 7)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(2000))
	return append(b, make([]byte, 17)...)
}

func TestRun_AnswersBatchesUntilInputEnds(t *testing.T) {
	in := append(batchFrame(1000), batchFrame(1000, selectInstance(3), configure(settingsJSON), endpointList(), endpointsUpdated(), requestArrived(5))...)
	// Exit and a new start in one batch: the new instance does not send the request of the old one again.
	in = append(in, batchFrame(2000, selectInstance(3), []byte{100}, configure(settingsJSON), endpointsUpdated(), requestArrived(6))...)
	var out bytes.Buffer
	if err := Run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.Bytes()
	if want := []byte{0, 0, 0, 0, 0, 0, 0, 8}; !bytes.Equal(got[:8], want) {
		t.Fatalf("empty batch: %x", got[:8])
	}
	for _, id := range []uint64{5, 6} {
		send := binary.BigEndian.AppendUint64([]byte{70}, id)
		if n := bytes.Count(got, send); n != 1 {
			t.Errorf("request %d sent %d times in %x", id, n, got)
		}
	}
}

func TestRun_RejectsMalformedInput(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		in         []byte
	}{
		{"truncated", "offset", batchFrame(1, selectInstance(1))[:18]},
		{"unknown code", "unknown event code 200", batchFrame(1, selectInstance(1), []byte{200})},
		{"no instance selected", "before an instance was selected", batchFrame(1, []byte{100})},
		{"bad settings", "instance 1: settings", batchFrame(1, selectInstance(1), configure("{}"))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := Run(bytes.NewReader(tc.in), new(bytes.Buffer))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %q", err, tc.want)
			}
		})
	}
}

// endpointListOf encodes a list of n backends, some of which have invalid weights.
func endpointListOf(n int) []byte {
	b := binary.BigEndian.AppendUint32([]byte{70, 0, 0, 0, 0}, uint32(n))
	weights := []float32{1, 0, -3, float32(math.Inf(1)), float32(math.NaN()), 1e30}
	for i := range n {
		b = append(b, 1, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, math.Float32bits(weights[i%len(weights)]))
		b = append(b, 10, 0, byte(i>>8), byte(i), 0, 80, 0, 0)
		b = append(b, make([]byte, 8)...)
	}
	return b
}

func TestRun_RejectsTruncatedEndpointListWithOffset(t *testing.T) {
	whole := batchFrame(1000, selectInstance(3), configure(settingsJSON), endpointListOf(400), endpointsUpdated(), requestArrived(5))
	if err := Run(bytes.NewReader(whole), new(bytes.Buffer)); err != nil {
		t.Fatalf("complete frame: %v", err)
	}
	for cut := 1; cut < len(whole); cut += 97 {
		err := Run(bytes.NewReader(whole[:cut]), new(bytes.Buffer))
		if err == nil || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	}
	// A complete frame whose endpoint list announces more entries than it holds.
	short := batchFrame(1000, selectInstance(3), configure(settingsJSON), endpointListOf(400)[:5000])
	err := Run(bytes.NewReader(short), new(bytes.Buffer))
	if err == nil || !strings.Contains(err.Error(), "offset") || !strings.Contains(err.Error(), "code 70") {
		t.Errorf("short list: %v", err)
	}
}

func TestRun_IgnoresEventsOfUnknownInstances(t *testing.T) {
	var out bytes.Buffer
	if err := Run(bytes.NewReader(batchFrame(1, selectInstance(9), requestArrived(1))), &out); err != nil || out.Len() != 8 {
		t.Fatalf("reply %x, error %v; want an empty reply", out.Bytes(), err)
	}
}

func TestMain_ReportsErrorsUnderItsName(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Main("drill", bytes.NewReader(batchFrame(1)), &out, &errOut); code != 0 || errOut.Len() != 0 {
		t.Errorf("exit code %d, %q", code, errOut.String())
	}
	code := Main("drill", bytes.NewReader(batchFrame(1, selectInstance(1), []byte{200})), &out, &errOut)
	if want := "drill: unknown event code 200 at offset 21\n"; code != 1 || errOut.String() != want {
		t.Errorf("exit code %d, %q, want %q", code, errOut.String(), want)
	}
}
