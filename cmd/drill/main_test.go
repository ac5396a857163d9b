package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const info = `{"classes": [{"effect": "read_like", "give-up-ms": 2000, "on-time-ms": 500}], "n-instances": 1,
"tick-ms": 4, "limits": {"try-limit": 4}}`

func batch(ms float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(16+len(body)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(ms))
	b = binary.BigEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func about(id uint32) []byte { return binary.BigEndian.AppendUint32([]byte{120}, id) }

func configure(text string) []byte {
	b := binary.BigEndian.AppendUint64([]byte{30}, 1)
	return append(binary.BigEndian.AppendUint32(b, uint32(len(text))), text...)
}

func inventory() []byte {
	b := append([]byte{70}, 0, 0, 0, 0, 0, 0, 0, 1)
	b = append(b, 1, 0, 0, 0, 0, 0x3f, 0x80, 0, 0, 10, 0, 0, 1, 0, 80, 0, 0)
	return append(b, make([]byte, 8)...)
}

func view() []byte { return append([]byte{50, 2}, make([]byte, 12)...) }

func call(id uint64) []byte {
	b := append(binary.BigEndian.AppendUint64([]byte{130}, id), 0, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, 7)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(2000))
	return append(b, make([]byte, 17)...)
}

func TestAnswersABatchAndEndsCleanly(t *testing.T) {
	in := append(batch(1000), batch(1000, about(3), configure(info), inventory(), view(), call(5))...)
	// A kill and a fresh start in one batch: the old request is void.
	in = append(in, batch(2000, about(3), []byte{100}, configure(info), view(), call(6))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
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

func TestMalformedInputIsAnError(t *testing.T) {
	for _, tc := range []struct {
		name, want string
		in         []byte
	}{
		{"cut off", "offset", batch(1, about(1))[:18]},
		{"unknown code", "unknown event code 200", batch(1, about(1), []byte{200})},
		{"no instance named", "before any instance", batch(1, []byte{100})},
		{"bad settings", "instance 1: settings", batch(1, about(1), configure("{}"))},
	} {
		t.Run(tc.name, func(t *testing.T) {
			err := run(bytes.NewReader(tc.in), new(bytes.Buffer))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("error %v, want one with %q", err, tc.want)
			}
		})
	}
}

// fleetOf is a list of n servers with absurd weights among them.
func fleetOf(n int) []byte {
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

func TestALongListCutOffAnywhereIsAnErrorWithItsOffset(t *testing.T) {
	whole := batch(1000, about(3), configure(info), fleetOf(400), view(), call(5))
	if err := run(bytes.NewReader(whole), new(bytes.Buffer)); err != nil {
		t.Fatalf("whole: %v", err)
	}
	for cut := 1; cut < len(whole); cut += 97 {
		err := run(bytes.NewReader(whole[:cut]), new(bytes.Buffer))
		if err == nil || !strings.Contains(err.Error(), "offset") {
			t.Fatalf("cut at %d: %v", cut, err)
		}
	}
	// A frame that is complete but whose list claims more lines than it holds.
	short := batch(1000, about(3), configure(info), fleetOf(400)[:5000])
	err := run(bytes.NewReader(short), new(bytes.Buffer))
	if err == nil || !strings.Contains(err.Error(), "offset") || !strings.Contains(err.Error(), "code 70") {
		t.Errorf("short list: %v", err)
	}
}

func TestEventsForUnknownInstancesAreIgnored(t *testing.T) {
	var out bytes.Buffer
	if err := run(bytes.NewReader(batch(1, about(9), call(1))), &out); err != nil || out.Len() != 8 {
		t.Fatalf("%x, %v", out.Bytes(), err)
	}
}
