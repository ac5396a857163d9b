// Package simwire encodes and decodes mesa-8412, the protocol by which a simulator drives package balance:
// batches of events come in, one reply of actions goes out for each.
//
// A Decoder decodes the events of a frame that ReadFrame has read; a Reply collects actions, which an
// ActionWriter writes for one instance. The package only encodes and decodes: package simadapter keeps the
// instances, package balance makes the decisions.
//
// Frames are big-endian and unpadded; times on the wire are milliseconds as 64-bit floating-point numbers.
// A malformed frame is reported as a *FrameError, which is wrapped in a *RecordError if it is within a record.
package simwire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// endpointSize is the size of an entry of an endpoint list, in bytes.
const endpointSize = 25

// loadHintScale converts the wire's expected load, in milliseconds of work per second, to the unit of load
// reports, microseconds of work per second.
const loadHintScale = 1000

// Bits of a request's flags. The protocol does not define bit 2.
const (
	flagHasLoadHint  = 1 << 0
	flagClientRetry  = 1 << 1
	flagMidStream    = 1 << 3
	flagReconnecting = 1 << 4
)

// Status codes on the wire.
const (
	wireStatusOK            = 0
	wireStatusError         = 5
	wireStatusOverloaded    = 11
	wireStatusReset         = 104
	wireStatusTimeout       = 110
	wireStatusConnectFailed = 111
	wireStatusAbandoned     = 114
	wireStatusCancelled     = 125
)

// Decoder decodes the records of one frame in order.
type Decoder struct {
	frame       []byte
	offset      int
	recordsLeft uint32
	err         *FrameError // first error in the current record
}

// NewDecoder returns a decoder of a frame that ReadFrame has read, and the clock in the frame's header.
func NewDecoder(frame []byte) (*Decoder, time.Duration, error) {
	if len(frame) < headerSize {
		return nil, 0, newFrameError(Truncated, len(frame), "frame header truncated at offset %d, expected %d bytes", len(frame), headerSize)
	}
	if n := binary.BigEndian.Uint32(frame); int64(n) != int64(len(frame)) {
		return nil, 0, newFrameError(BadFrameLength, 0, "frame length %d at offset 0, but the frame has %d bytes", n, len(frame))
	}
	d := &Decoder{frame: frame, offset: 4}
	now := d.milliseconds()
	d.recordsLeft = d.uint32()
	if int64(d.recordsLeft) > int64(len(frame)-headerSize) { // a record has at least one byte
		return nil, 0, newFrameError(BadRecordCount, recordCountOffset, "record count %d at offset %d exceeds the %d bytes of records",
			d.recordsLeft, recordCountOffset, len(frame)-headerSize)
	}
	return d, now, nil
}

// Next decodes the next record into e. It returns io.EOF after the last one. Byte slices in e are valid until the
// frame's buffer is used again, load reports until the next call; Backends is newly allocated.
func (d *Decoder) Next(e *Event) error {
	if d.recordsLeft == 0 {
		return d.end()
	}
	d.recordsLeft--
	start := d.offset
	load := e.Result.Load[:0]
	*e = Event{Code: EventCode(d.uint8())}
	if !d.record(e, load) {
		return newFrameError(UnknownEvent, start, "unknown event code %d at offset %d", e.Code, start)
	}
	if d.err != nil {
		return &RecordError{Code: e.Code, Offset: start, Err: d.err}
	}
	return nil
}

// end returns io.EOF, or an error if bytes follow the last record.
func (d *Decoder) end() error {
	if rest := len(d.frame) - d.offset; rest != 0 {
		return newFrameError(TrailingBytes, d.offset, "%d bytes after the last record at offset %d", rest, d.offset)
	}
	return io.EOF
}

// record decodes the fields of the event with code e.Code and reports whether the protocol defines that code.
// Load reports are appended to load.
func (d *Decoder) record(e *Event, load []float32) bool {
	switch e.Code {
	case EventSelectInstance:
		e.Instance = d.uint32()
	case EventConfigure:
		d.configure(e)
	case EventEndpointsUpdated:
		d.endpointsUpdated(e)
	case EventEndpointList:
		d.endpointList(e)
	case EventRequestArrived:
		d.request(&e.Request)
	case EventSessionAdopted:
		d.request(&e.Request)
		e.Backend = d.backend()
	case EventAttemptSucceeded:
		d.attemptSucceeded(&e.Result)
	case EventLoadReported:
		d.loadReported(e)
	case EventAttemptEnded:
		d.attemptEnded(&e.Result, load)
	case EventClientClosed:
		e.Result.ID = d.uint64()
	case EventTimerFired:
		e.TimerToken = d.uint64()
	case EventHealthCheckDone:
		d.healthCheck(&e.HealthCheck, load)
	case EventGossipReceived:
		e.Peer = int(d.uint32())
		e.Payload = d.take(int(d.uint16()))
	case EventExit: // has no fields
	default:
		return false
	}
	return true
}

// fail records an error, unless the current record has one already.
func (d *Decoder) fail(kind ErrorKind, offset int, format string, args ...any) {
	if d.err == nil {
		d.err = newFrameError(kind, offset, format, args...)
	}
}

// take returns the next n bytes. If fewer are left, it records an error and returns nil.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if left := len(d.frame) - d.offset; n < 0 || n > left {
		d.fail(Truncated, d.offset, "expected %d bytes at offset %d, %d left", n, d.offset, left)
		return nil
	}
	field := d.frame[d.offset : d.offset+n : d.offset+n]
	d.offset += n
	return field
}

func (d *Decoder) uint8() uint8 {
	if field := d.take(1); field != nil {
		return field[0]
	}
	return 0
}

func (d *Decoder) uint16() uint16 {
	if field := d.take(2); field != nil {
		return binary.BigEndian.Uint16(field)
	}
	return 0
}

func (d *Decoder) uint32() uint32 {
	if field := d.take(4); field != nil {
		return binary.BigEndian.Uint32(field)
	}
	return 0
}

func (d *Decoder) uint64() uint64 {
	if field := d.take(8); field != nil {
		return binary.BigEndian.Uint64(field)
	}
	return 0
}

func (d *Decoder) float32() float32 { return math.Float32frombits(d.uint32()) }
func (d *Decoder) float64() float64 { return math.Float64frombits(d.uint64()) }

func (d *Decoder) milliseconds() time.Duration { return settings.FromMilliseconds(d.float64()) }

// backend decodes an IPv4 address and a port, which together are a backend's ID.
func (d *Decoder) backend() balance.BackendID {
	if field := d.take(6); field != nil {
		return balance.BackendID(uint64(binary.BigEndian.Uint32(field))<<16 | uint64(binary.BigEndian.Uint16(field[4:])))
	}
	return 0
}

func (d *Decoder) status() balance.Status {
	start := d.offset
	switch code := d.uint16(); code {
	case wireStatusOK:
		return balance.StatusOK
	case wireStatusError:
		return balance.StatusError
	case wireStatusOverloaded:
		return balance.StatusOverloaded
	case wireStatusTimeout:
		return balance.StatusTimeout
	case wireStatusConnectFailed:
		return balance.StatusConnectFailed
	case wireStatusReset:
		return balance.StatusReset
	case wireStatusCancelled:
		return balance.StatusCancelled
	case wireStatusAbandoned:
		return balance.StatusAbandoned
	default:
		d.fail(BadValue, start, "unknown status code %d", code)
		return balance.StatusError
	}
}

// load decodes a load report and appends it to values.
func (d *Decoder) load(values []float32) []float32 {
	n := int(d.uint8())
	field := d.take(4 * n)
	for ; len(field) >= 4; field = field[4:] {
		values = append(values, math.Float32frombits(binary.BigEndian.Uint32(field)))
	}
	return values
}

func (d *Decoder) configure(e *Event) {
	e.Seed = d.uint64()
	e.Settings = d.take(int(d.uint32()))
}

func (d *Decoder) request(r *balance.Request) {
	r.ID = d.uint64()
	r.Class = int(d.uint8())
	r.Tenant = int(d.uint32())
	r.Key = d.uint64()
	r.TimeLeft = d.milliseconds()
	loadHint := d.float64()
	r.Group = d.uint64()
	flags := d.uint8()
	if flags&flagHasLoadHint != 0 {
		r.ExpectedLoad = loadHint * loadHintScale
	}
	r.ClientRetry = flags&flagClientRetry != 0
	r.MidStream = flags&flagMidStream != 0
	r.Reconnecting = flags&flagReconnecting != 0
}

func (d *Decoder) attemptSucceeded(r *balance.AttemptResult) {
	r.ID = d.uint64()
	r.Latency = d.milliseconds()
	r.Backend = d.backend()
	r.Attempt = int(d.uint16())
}

func (d *Decoder) attemptEnded(r *balance.AttemptResult, load []float32) {
	r.ID = d.uint64()
	r.Attempt = int(d.uint16())
	r.Backend = d.backend()
	r.Status = d.status()
	r.Latency = d.milliseconds()
	r.Closed = d.uint8() != 0
	r.Load = d.load(load)
}

func (d *Decoder) loadReported(e *Event) {
	e.Result.ID = d.uint64()
	e.Result.Attempt = int(d.uint16())
	e.Backend = d.backend()
	e.Signal = balance.LoadSignal(d.uint8())
	e.SignalValue = float64(d.float32())
}

func (d *Decoder) healthCheck(r *balance.HealthCheckResult, load []float32) {
	r.Status = d.status()
	r.Latency = d.milliseconds()
	r.Backend = d.backend()
	r.Load = d.load(load)
}

func (d *Decoder) endpointsUpdated(e *Event) {
	start := d.offset
	kind := d.uint8()
	if kind > uint8(balance.UpdateFailed) {
		d.fail(BadValue, start, "unknown update kind %d, expected 0 to %d", kind, balance.UpdateFailed)
	}
	e.UpdateKind = balance.EndpointUpdateKind(kind)
	start = d.offset
	e.ListSlot = d.uint32()
	if e.UpdateKind != balance.UpdateFailed && e.ListSlot >= MaxListSlots { // a failed update carries no list
		d.fail(BadValue, start, "list slot %d, expected 0 to %d", e.ListSlot, MaxListSlots-1)
	}
	e.ListVersion = d.uint64()
}

func (d *Decoder) endpointList(e *Event) {
	start := d.offset
	e.ListSlot = d.uint32()
	if e.ListSlot >= MaxListSlots {
		d.fail(BadValue, start, "list slot %d, expected 0 to %d", e.ListSlot, MaxListSlots-1)
	}
	e.Backends = d.backends()
}

// backends decodes the entries of an endpoint list after their count. It checks the count against the frame before it allocates.
func (d *Decoder) backends() []balance.Backend {
	n := d.uint32()
	if d.err != nil || int64(n)*endpointSize > int64(len(d.frame)-d.offset) {
		d.fail(Truncated, d.offset, "list of %d endpoints at offset %d needs %d bytes, %d left", n, d.offset,
			int64(n)*endpointSize, len(d.frame)-d.offset)
		return nil
	}
	list := make([]balance.Backend, n)
	for i := range list {
		d.endpoint(&list[i])
	}
	return list
}

func (d *Decoder) endpoint(b *balance.Backend) {
	start := d.offset
	state := d.uint8()
	if state > uint8(balance.StateDraining) {
		d.fail(BadValue, start, "unknown backend state %d, expected 0 to %d", state, balance.StateDraining)
	}
	b.State = balance.BackendState(state)
	b.Zone = int(d.uint16())
	b.Cell = int(d.uint16())
	b.Weight = float64(d.float32())
	b.ID = d.backend()
	b.Kind = int(d.uint16())
	b.ReadyAt = d.milliseconds()
}
