// Package mesa is the codec of the wire protocol mesa-8412, by which a test bench
// drives package balance: batches of events in, batches of actions out.
//
// Frames are big-endian and unpadded; times on the wire are milliseconds as 64-bit
// floating-point numbers. Errors name the offset in the frame.
package mesa

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// Code is an event's code.
type Code uint8

// The events.
const (
	Note      Code = 10
	Fired     Code = 20
	Configure Code = 30
	Dropped   Code = 40
	View      Code = 50
	Datagram  Code = 60
	Inventory Code = 70
	Resumed   Code = 80
	Probed    Code = 90
	Exit      Code = 100
	Settled   Code = 110
	About     Code = 120
	Call      Code = 130
	Begun     Code = 140
)

const (
	headerSize = 16
	maxFrame   = 64 << 20
	entrySize  = 25
	maxSlot    = 16
)

// Event is one record of a batch. Which fields hold depends on Code.
type Event struct {
	Code     Code
	Instance uint32 // About
	Request  balance.Request
	Outcome  balance.AttemptResult // Settled, Begun
	Report   balance.HealthCheckResult
	Backend  balance.BackendID // Resumed, Note
	Token    uint64
	Seed     uint64
	Info     []byte
	Kind     balance.EndpointUpdateKind
	Slot     uint32
	Version  uint64
	List     []balance.Backend
	NoteKind balance.LoadSignal
	Value    float64
	From     int
	Data     []byte
}

// ReadFrame reads one batch's bytes into buf. It returns io.EOF only between
// frames. Memory grows with what has arrived, not with what a header claims.
func ReadFrame(r io.Reader, buf *bytes.Buffer) error {
	buf.Reset()
	if n, err := io.CopyN(buf, r, headerSize); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		return fmt.Errorf("frame header cut off at offset %d: %w", n, eof(err))
	}
	size := int64(binary.BigEndian.Uint32(buf.Bytes()))
	if size < headerSize || size > maxFrame {
		return fmt.Errorf("frame length %d at offset 0 is outside %d to %d", size, headerSize, maxFrame)
	}
	if n, err := io.CopyN(buf, r, size-headerSize); err != nil {
		return fmt.Errorf("frame of %d bytes cut off at offset %d: %w", size, n+headerSize, eof(err))
	}
	return nil
}

func eof(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Decoder walks the records of one frame.
type Decoder struct {
	b    []byte
	at   int
	left uint32
	code Code
	err  error
}

// NewDecoder starts on a frame as ReadFrame left it and returns its clock.
func NewDecoder(frame []byte) (*Decoder, time.Duration, error) {
	if len(frame) < headerSize {
		return nil, 0, fmt.Errorf("frame cut off at offset %d", len(frame))
	}
	if n := binary.BigEndian.Uint32(frame); int64(n) != int64(len(frame)) {
		return nil, 0, fmt.Errorf("frame length %d at offset 0 but %d bytes", n, len(frame))
	}
	d := &Decoder{b: frame, at: 4}
	now := d.ms()
	d.left = d.u32()
	if int64(d.left) > int64(len(frame)-headerSize) {
		return nil, 0, fmt.Errorf("record count %d at offset 12 exceeds the frame", d.left)
	}
	return d, now, nil
}

// Next decodes a record into e. It returns io.EOF after the last one. Slices in
// e are valid until the frame's buffer is used again; List is fresh memory.
func (d *Decoder) Next(e *Event) error {
	if d.left == 0 {
		if d.at != len(d.b) {
			return fmt.Errorf("%d bytes after the last record at offset %d", len(d.b)-d.at, d.at)
		}
		return io.EOF
	}
	d.left--
	start := d.at
	load := e.Outcome.Load[:0]
	*e = Event{Code: Code(d.u8())}
	d.code = e.Code
	switch e.Code {
	case About:
		e.Instance = d.u32()
	case Configure:
		e.Seed = d.u64()
		e.Info = d.take(int(d.u32()))
	case View:
		d.view(e)
	case Inventory:
		d.inventory(e)
	case Call:
		d.request(&e.Request)
	case Resumed:
		d.request(&e.Request)
		e.Backend = d.backend()
	case Begun:
		e.Outcome.ID = d.u64()
		e.Outcome.Latency = d.ms()
		e.Outcome.Backend = d.backend()
		e.Outcome.Attempt = int(d.u16())
	case Note:
		d.note(e)
	case Settled:
		d.settled(&e.Outcome, load)
	case Dropped:
		e.Outcome.ID = d.u64()
	case Fired:
		e.Token = d.u64()
	case Probed:
		d.report(&e.Report, load)
	case Datagram:
		e.From = int(d.u32())
		e.Data = d.take(int(d.u16()))
	case Exit:
	default:
		return fmt.Errorf("unknown event code %d at offset %d", e.Code, start)
	}
	if d.err != nil {
		return fmt.Errorf("event code %d at offset %d: %w", e.Code, start, d.err)
	}
	return nil
}

func (d *Decoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}

// take returns the next n bytes, or nil and a kept error when they are not there.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || n > len(d.b)-d.at {
		d.fail("%d bytes wanted at offset %d, %d left", n, d.at, len(d.b)-d.at)
		return nil
	}
	p := d.b[d.at : d.at+n : d.at+n]
	d.at += n
	return p
}

func (d *Decoder) u8() uint8 {
	if p := d.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if p := d.take(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.take(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.take(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

func (d *Decoder) f64() float64 { return math.Float64frombits(d.u64()) }
func (d *Decoder) ms() time.Duration {
	return settings.FromMilliseconds(d.f64())
}

func (d *Decoder) backend() balance.BackendID {
	if p := d.take(6); p != nil {
		return balance.BackendID(uint64(binary.BigEndian.Uint32(p))<<16 | uint64(binary.BigEndian.Uint16(p[4:])))
	}
	return 0
}

func (d *Decoder) status() balance.Status {
	switch c := d.u16(); c {
	case 0:
		return balance.StatusOK
	case 5:
		return balance.StatusError
	case 11:
		return balance.StatusOverloaded
	case 110:
		return balance.StatusTimeout
	case 111:
		return balance.StatusConnectFailed
	case 104:
		return balance.StatusReset
	case 125:
		return balance.StatusCancelled
	case 114:
		return balance.StatusAbandoned
	default:
		d.fail("unknown outcome code %d", c)
		return balance.StatusError
	}
}

func (d *Decoder) load(into []float32) []float32 {
	n := int(d.u8())
	p := d.take(4 * n)
	for ; len(p) >= 4; p = p[4:] {
		into = append(into, math.Float32frombits(binary.BigEndian.Uint32(p)))
	}
	return into
}

func (d *Decoder) request(r *balance.Request) {
	r.ID = d.u64()
	r.Class = int(d.u8())
	r.Tenant = int(d.u32())
	r.Key = d.u64()
	r.TimeLeft = d.ms()
	hint := d.f64()
	r.Group = d.u64()
	flags := d.u8()
	if flags&1 != 0 {
		r.ExpectedLoad = hint * 1000 // the hint is milliseconds of work a second, notes are microseconds
	}
	r.ClientRetry = flags&2 != 0
	r.MidStream = flags&8 != 0
	r.Reconnecting = flags&16 != 0
}

func (d *Decoder) view(e *Event) {
	k := d.u8()
	if k > uint8(balance.UpdateFailed) {
		d.fail("list scope %d", k)
	}
	e.Kind = balance.EndpointUpdateKind(k)
	e.Slot = d.u32()
	if e.Kind != balance.UpdateFailed && e.Slot >= maxSlot {
		d.fail("list slot %d", e.Slot)
	}
	e.Version = d.u64()
}

func (d *Decoder) inventory(e *Event) {
	e.Slot = d.u32()
	if e.Slot >= maxSlot {
		d.fail("list slot %d", e.Slot)
	}
	e.List = d.entries()
}

func (d *Decoder) note(e *Event) {
	e.Outcome.ID = d.u64()
	e.Outcome.Attempt = int(d.u16())
	e.Backend = d.backend()
	e.NoteKind = balance.LoadSignal(d.u8())
	e.Value = float64(math.Float32frombits(d.u32()))
}

func (d *Decoder) settled(o *balance.AttemptResult, load []float32) {
	o.ID = d.u64()
	o.Attempt = int(d.u16())
	o.Backend = d.backend()
	o.Status = d.status()
	o.Latency = d.ms()
	o.Closed = d.u8() != 0
	o.Load = d.load(load)
}

func (d *Decoder) report(r *balance.HealthCheckResult, load []float32) {
	r.Status = d.status()
	r.Latency = d.ms()
	r.Backend = d.backend()
	r.Load = d.load(load)
}

func (d *Decoder) entries() []balance.Backend {
	n := d.u32()
	if d.err != nil || int64(n)*entrySize > int64(len(d.b)-d.at) {
		d.fail("list of %d lines at offset %d exceeds the frame", n, d.at)
		return nil
	}
	list := make([]balance.Backend, n)
	for i := range list {
		b := &list[i]
		s := d.u8()
		if s > uint8(balance.StateDraining) {
			d.fail("unknown backend status %d", s)
		}
		b.State = balance.BackendState(s)
		b.Zone = int(d.u16())
		b.Cell = int(d.u16())
		b.Weight = float64(math.Float32frombits(d.u32()))
		b.ID = d.backend()
		b.Kind = int(d.u16())
		b.ReadyAt = d.ms()
	}
	return list
}
