package membership

import "google.golang.org/protobuf/encoding/protowire"

// MaxPacketSize is the largest datagram, in bytes. It is far below common MTUs, so datagrams aren't fragmented.
const MaxPacketSize = 256

const (
	magicByte          = 0xb5 // first byte of every datagram of this protocol
	protocolVersion    = 1
	maxNameLength      = 32 // bytes of a relay's or a fleet's name
	overloadNoticeSize = 8  // bytes of an overload notice, which shares the port; no datagram here has this size

	// maxUpdatesOverhead is the tag and the length of the updates field: one byte, and at most two.
	maxUpdatesOverhead = 3
)

// messageKind says what a datagram is.
type messageKind int

// The kinds, by their values on the wire.
const (
	kindPing    messageKind = iota + 1
	kindAck                 // answers a ping, or a ping-req whose target has answered
	kindPingReq             // asks the recipient to ping a third member
	kindNack                // answers a ping-req whose target has not answered in time
	kindGossip              // carries updates only
)

// Field numbers of the protobuf message. Higher ones are of later versions and skipped.
const (
	fieldVersion protowire.Number = iota + 1
	fieldFleet
	fieldName
	fieldStart
	fieldIncarnation
	fieldKind
	fieldSequence
	fieldTarget
	fieldUpdates
	fieldHealth

	lastField    = fieldHealth
	fieldPadding = 15 // makes a datagram longer than an overload notice
)

// An update is two varints: the member's index and its state, and the incarnation.
const (
	stateBits = 3
	stateMask = 1<<stateBits - 1
)

// message is the content of a datagram.
type message struct {
	fleet       string
	name        string // of the sender
	startMillis uint64 // start of the sender's process, Unix time in milliseconds
	incarnation uint64 // of the sender
	kind        messageKind
	sequence    uint64 // chosen by the sender of a ping or ping-req, repeated in its ack or nack
	target      int    // of a ping-req: one more than the index of the member to ping; 0: none
	health      int    // local health score of the sender
	updates     []memberUpdate
}

// IsMessage says whether a datagram belongs to this protocol, rather than being an overload notice.
func IsMessage(data []byte) bool {
	return len(data) > 0 && len(data) != overloadNoticeSize && data[0] == magicByte
}

// encode returns the datagram with as many of the first updates as fit, and how many these are.
func (m *message) encode() (data []byte, fitted int) {
	data = m.appendHeader(make([]byte, 0, MaxPacketSize))
	updates, fitted := encodeUpdates(m.updates, MaxPacketSize-len(data)-maxUpdatesOverhead)
	if len(updates) > 0 {
		data = protowire.AppendTag(data, fieldUpdates, protowire.BytesType)
		data = protowire.AppendBytes(data, updates)
	}
	if len(data) == overloadNoticeSize {
		data = appendNumber(data, fieldPadding, 0)
	}
	return data, fitted
}

// appendHeader appends everything but the updates.
func (m *message) appendHeader(data []byte) []byte {
	data = append(data, magicByte)
	data = appendNumber(data, fieldVersion, protocolVersion)
	data = appendText(data, fieldFleet, m.fleet)
	data = appendText(data, fieldName, m.name)
	data = appendNumber(data, fieldStart, m.startMillis)
	data = appendNumber(data, fieldIncarnation, m.incarnation)
	data = appendNumber(data, fieldKind, uint64(m.kind))
	data = appendNumber(data, fieldSequence, m.sequence)
	if m.target > 0 {
		data = appendNumber(data, fieldTarget, uint64(m.target))
	}
	if m.health > 0 {
		data = appendNumber(data, fieldHealth, uint64(m.health))
	}
	return data
}

func appendNumber(data []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(data, field, protowire.VarintType), v)
}

func appendText(data []byte, field protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(data, field, protowire.BytesType), s)
}

// encodeUpdates returns as many of the first updates as fit into some bytes, and how many these are.
func encodeUpdates(updates []memberUpdate, room int) (data []byte, fitted int) {
	for _, u := range updates {
		next := protowire.AppendVarint(data, uint64(u.member)<<stateBits|uint64(u.state))
		next = protowire.AppendVarint(next, u.incarnation)
		if len(next) > room {
			break
		}
		data = next
		fitted++
	}
	return data, fitted
}
