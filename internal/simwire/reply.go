package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"aspenbarrow/balance"
)

// actionCode is the first byte of a record in a reply.
type actionCode uint8

// The action codes, each with its name in the protocol's description.
const (
	actionCancel             actionCode = 10  // RECALL
	actionFatal              actionCode = 20  // FATAL
	actionReject             actionCode = 30  // SAY_NO
	actionSelectInstance     actionCode = 40  // INSTANCE
	actionLog                actionCode = 50  // SAY_LOG
	actionFetchEndpoints     actionCode = 60  // RESOLVE
	actionSend               actionCode = 70  // RELAY
	actionReleaseHealthCheck actionCode = 80  // RELEASE
	actionSetTimer           actionCode = 90  // AFTER
	actionWatchEndpoints     actionCode = 100 // TAIL
	actionCheckHealth        actionCode = 110 // CHECK
	actionSendGossip         actionCode = 120 // ANNOUNCE
	actionFail               actionCode = 130 // ABORT
	actionMigrate            actionCode = 140 // GO_AWAY
)

const (
	replyHeaderSize = 8              // bytes: record count u32, length u32
	maxTextSize     = math.MaxUint16 // bytes; a text's length is a u16
	allPeers        = math.MaxUint16 // in place of a relay's index
)

// Reply collects the actions of one batch, for all instances.
type Reply struct {
	frame    []byte
	records  uint32
	selected bool   // whether an instance is selected yet
	instance uint32 // the selected instance
}

// Reset empties the reply. It must be called before the first use.
func (r *Reply) Reset() {
	r.frame = append(r.frame[:0], make([]byte, replyHeaderSize)...)
	r.records, r.selected = 0, false
}

// Bytes completes the header and returns the frame, valid until Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.frame, r.records)
	binary.BigEndian.PutUint32(r.frame[4:], uint32(len(r.frame)))
	return r.frame
}

// record begins a record. If the selected instance changes, it first writes a record that selects the new one.
func (r *Reply) record(instance uint32, code actionCode) {
	if !r.selected || r.instance != instance {
		r.records++
		r.frame = binary.BigEndian.AppendUint32(append(r.frame, byte(actionSelectInstance)), instance)
		r.selected, r.instance = true, instance
	}
	r.records++
	r.frame = append(r.frame, byte(code))
}

func (r *Reply) uint16(v uint16) { r.frame = binary.BigEndian.AppendUint16(r.frame, v) }
func (r *Reply) uint64(v uint64) { r.frame = binary.BigEndian.AppendUint64(r.frame, v) }
func (r *Reply) milliseconds(d time.Duration) {
	r.uint64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

func (r *Reply) backend(id balance.BackendID) {
	r.frame = binary.BigEndian.AppendUint32(r.frame, uint32(id>>16))
	r.uint16(uint16(id))
}

// flag appends a byte, 1 or 0.
func (r *Reply) flag(on bool) {
	var v byte
	if on {
		v = 1
	}
	r.frame = append(r.frame, v)
}

// text appends a text with its length. It truncates a text that is longer than maxTextSize.
func (r *Reply) text(s string) {
	if len(s) > maxTextSize {
		s = s[:maxTextSize]
	}
	r.uint16(uint16(len(s)))
	r.frame = append(r.frame, s...)
}

// Fatal reports that the decision code of an instance has panicked. The simulator then ends the run.
func (r *Reply) Fatal(instance uint32, text string) {
	r.record(instance, actionFatal)
	r.text(text)
}

// ActionWriter implements balance.Actions for one instance by appending to a Reply.
type ActionWriter struct {
	Reply    *Reply
	Instance uint32
}

var _ balance.Actions = ActionWriter{}

// Send starts an attempt at a backend.
func (w ActionWriter) Send(id uint64, to balance.BackendID, timeout time.Duration) {
	w.Reply.record(w.Instance, actionSend)
	w.Reply.uint64(id)
	w.Reply.backend(to)
	w.Reply.milliseconds(timeout)
}

// Reject answers a request with "rejected"; the client may send it again after retryAfter.
func (w ActionWriter) Reject(id uint64, retryAfter time.Duration) {
	w.Reply.record(w.Instance, actionReject)
	w.Reply.uint64(id)
	w.Reply.milliseconds(retryAfter)
}

// Fail answers a request with "failed".
func (w ActionWriter) Fail(id uint64) {
	w.Reply.record(w.Instance, actionFail)
	w.Reply.uint64(id)
}

// Cancel requests the cancellation of an attempt.
func (w ActionWriter) Cancel(id uint64, attempt int) {
	w.Reply.record(w.Instance, actionCancel)
	w.Reply.uint64(id)
	w.Reply.uint16(uint16(attempt))
}

// CheckHealth starts a health check of a backend.
func (w ActionWriter) CheckHealth(to balance.BackendID) {
	w.Reply.record(w.Instance, actionCheckHealth)
	w.Reply.backend(to)
}

// ReleaseHealthCheck closes idle connections to a backend.
func (w ActionWriter) ReleaseHealthCheck(to balance.BackendID) {
	w.Reply.record(w.Instance, actionReleaseHealthCheck)
	w.Reply.backend(to)
}

// Migrate asks a client to reconnect.
func (w ActionWriter) Migrate(id uint64) {
	w.Reply.record(w.Instance, actionMigrate)
	w.Reply.uint64(id)
}

// SendGossip sends a message to one relay or, if peer is negative, to all.
func (w ActionWriter) SendGossip(peer int, data []byte) {
	w.Reply.record(w.Instance, actionSendGossip)
	if peer < 0 {
		peer = allPeers
	}
	w.Reply.uint16(uint16(peer))
	w.Reply.text(string(data))
}

// SetTimer requests a TimerFired event after d.
func (w ActionWriter) SetTimer(token uint64, d time.Duration) {
	w.Reply.record(w.Instance, actionSetTimer)
	w.Reply.uint64(token)
	w.Reply.milliseconds(d)
}

// WatchEndpoints starts the subscription to changes of the endpoint list. The simulator also takes a record with the flag 0,
// which ends it; no relay writes one.
func (w ActionWriter) WatchEndpoints() {
	w.Reply.record(w.Instance, actionWatchEndpoints)
	w.Reply.flag(true)
}

// FetchEndpoints requests the endpoint list once.
func (w ActionWriter) FetchEndpoints() { w.Reply.record(w.Instance, actionFetchEndpoints) }

// Log adds a line to the simulator's report.
func (w ActionWriter) Log(text string) {
	w.Reply.record(w.Instance, actionLog)
	w.Reply.text(text)
}
