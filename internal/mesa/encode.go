package mesa

import (
	"encoding/binary"
	"math"
	"time"

	"aspenbarrow/balance"
)

const (
	codeCancel    = 10
	codeFatal     = 20
	codeRefuse    = 30
	codeInstance  = 40
	codeLog       = 50
	codeFetch     = 60
	codeSend      = 70
	codeRelease   = 80
	codeAfter     = 90
	codeSubscribe = 100
	codeProbe     = 110
	codeTell      = 120
	codeFail      = 130
	codeMove      = 140

	replyHeader = 8
	maxText     = 1<<16 - 1
)

// Reply collects the actions of one batch, for all instances.
type Reply struct {
	b     []byte
	count uint32
	last  uint32
	named bool
}

// Reset empties the reply.
func (r *Reply) Reset() {
	r.b = append(r.b[:0], make([]byte, replyHeader)...)
	r.count, r.named = 0, false
}

// Bytes completes the header and returns the frame, valid until Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.b, r.count)
	binary.BigEndian.PutUint32(r.b[4:], uint32(len(r.b)))
	return r.b
}

func (r *Reply) record(instance uint32, code uint8) {
	if !r.named || r.last != instance {
		r.count++
		r.b = binary.BigEndian.AppendUint32(append(r.b, codeInstance), instance)
		r.named, r.last = true, instance
	}
	r.count++
	r.b = append(r.b, code)
}

func (r *Reply) u16(v uint16) { r.b = binary.BigEndian.AppendUint16(r.b, v) }
func (r *Reply) u64(v uint64) { r.b = binary.BigEndian.AppendUint64(r.b, v) }
func (r *Reply) ms(d time.Duration) {
	r.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (r *Reply) backend(id balance.BackendID) {
	r.b = binary.BigEndian.AppendUint32(r.b, uint32(id>>16))
	r.u16(uint16(id))
}

func (r *Reply) text(s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	r.u16(uint16(len(s)))
	r.b = append(r.b, s...)
}

// Fatal says that the decision code of an instance broke.
func (r *Reply) Fatal(instance uint32, text string) {
	r.record(instance, codeFatal)
	r.text(text)
}

// Writer is one instance's balance.Actions, written to a Reply.
type Writer struct {
	Reply    *Reply
	Instance uint32
}

var _ balance.Actions = Writer{}

// Send starts an attempt.
func (w Writer) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	w.Reply.record(w.Instance, codeSend)
	w.Reply.u64(id)
	w.Reply.backend(to)
	w.Reply.ms(timeout)
}

// Reject is the final answer "rejected".
func (w Writer) Reject(id uint64, retryAfter time.Duration) {
	w.Reply.record(w.Instance, codeRefuse)
	w.Reply.u64(id)
	w.Reply.ms(retryAfter)
}

// Fail is the final answer "failed".
func (w Writer) Fail(id uint64) {
	w.Reply.record(w.Instance, codeFail)
	w.Reply.u64(id)
}

// Cancel ends the wait on an attempt.
func (w Writer) Cancel(id uint64, attempt int) {
	w.Reply.record(w.Instance, codeCancel)
	w.Reply.u64(id)
	w.Reply.u16(uint16(attempt))
}

// CheckHealth tests a backend.
func (w Writer) CheckHealth(to balance.BackendID) {
	w.Reply.record(w.Instance, codeProbe)
	w.Reply.backend(to)
}

// Release closes idle connections to a backend.
func (w Writer) ReleaseHealthCheck(to balance.BackendID) {
	w.Reply.record(w.Instance, codeRelease)
	w.Reply.backend(to)
}

// Migrate asks a client to leave and come again.
func (w Writer) Migrate(id uint64) {
	w.Reply.record(w.Instance, codeMove)
	w.Reply.u64(id)
}

// Gossip sends a message to one relay or, below 0, to all.
func (w Writer) SendGossip(peer int, data []byte) {
	w.Reply.record(w.Instance, codeTell)
	if peer < 0 {
		peer = math.MaxUint16
	}
	w.Reply.u16(uint16(peer))
	w.Reply.text(string(data))
}

// SetTimer asks for a timer.
func (w Writer) SetTimer(token uint64, d time.Duration) {
	w.Reply.record(w.Instance, codeAfter)
	w.Reply.u64(token)
	w.Reply.ms(d)
}

// WatchEndpoints starts or ends the subscription to list changes.
func (w Writer) WatchEndpoints(on bool) {
	w.Reply.record(w.Instance, codeSubscribe)
	var v uint8
	if on {
		v = 1
	}
	w.Reply.b = append(w.Reply.b, v)
}

// FetchEndpoints asks for the whole list once.
func (w Writer) FetchEndpoints() { w.Reply.record(w.Instance, codeFetch) }

// Log adds a line to the report.
func (w Writer) Log(text string) {
	w.Reply.record(w.Instance, codeLog)
	w.Reply.text(text)
}
