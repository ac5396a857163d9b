package membership

import "google.golang.org/protobuf/encoding/protowire"

// MaxPacketSize is the largest datagram, in bytes. It is far below common MTUs, so datagrams aren't fragmented.
const MaxPacketSize = 256

const (
	magicByte          = 0xb5 // first byte of every datagram of this protocol
	protocolVersion    = 1
	maxNameLength      = 32 // bytes of a relay's or a fleet's name
	overloadNoticeSize = 8  // bytes of an overload notice, which shares the port; no datagram of this protocol has this size

	// maxUpdatesOverhead is the size of the updates field's tag (one byte) and length (at most two), in bytes.
	maxUpdatesOverhead = 3
)

// messageKind is the type of a message.
type messageKind int

// The kinds, by their values on the wire.
const (
	kindPing    messageKind = iota + 1
	kindAck                 // answers a ping, or a ping-req whose target has answered
	kindPingReq             // asks the recipient to ping a third member
	kindNack                // answers a ping-req whose target has not answered in time
	kindGossip              // carries updates only
)

// Field numbers of the protobuf message. Higher numbers belong to later versions and are skipped.
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

// An update is encoded as two varints: the member's index shifted by stateBits plus its state, and the incarnation.
const (
	stateBits = 3
	stateMask = 1<<stateBits - 1
)

// message is the content of a datagram.
type message struct {
	fleet       string
	name        string // name of the sender
	startMillis uint64 // start of the sender's process, Unix time in milliseconds
	incarnation uint64 // incarnation of the sender
	kind        messageKind
	sequence    uint64 // chosen by the sender of a ping or ping-req, repeated in its ack or nack
	target      int    // in a ping-req, one more than the index of the member to ping; 0: none
	health      int    // local health score of the sender
	updates     []memberUpdate
}

// IsMessage reports whether a datagram belongs to this protocol, rather than being an overload notice.
func IsMessage(data []byte) bool {
	return len(data) > 0 && len(data) != overloadNoticeSize && data[0] == magicByte
}

// encode returns the datagram with as many of the first updates as fit, and their number.
func (m *message) encode() (data []byte, fitted int) {
	data = m.appendHeader(make([]byte, 0, MaxPacketSize))
	updates, fitted := encodeUpdates(m.updates, MaxPacketSize-len(data)-maxUpdatesOverhead)
	if len(updates) > 0 {
		data = protowire.AppendTag(data, fieldUpdates, protowire.BytesType)
		data = protowire.AppendBytes(data, updates)
	}
	if len(data) == overloadNoticeSize {
		data = appendVarint(data, fieldPadding, 0)
	}
	return data, fitted
}

// appendHeader appends all fields but the updates.
func (m *message) appendHeader(data []byte) []byte {
	data = append(data, magicByte)
	data = appendVarint(data, fieldVersion, protocolVersion)
	data = appendString(data, fieldFleet, m.fleet)
	data = appendString(data, fieldName, m.name)
	data = appendVarint(data, fieldStart, m.startMillis)
	data = appendVarint(data, fieldIncarnation, m.incarnation)
	data = appendVarint(data, fieldKind, uint64(m.kind))
	data = appendVarint(data, fieldSequence, m.sequence)
	if m.target > 0 {
		data = appendVarint(data, fieldTarget, uint64(m.target))
	}
	if m.health > 0 {
		data = appendVarint(data, fieldHealth, uint64(m.health))
	}
	return data
}

func appendVarint(data []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(data, field, protowire.VarintType), v)
}

func appendString(data []byte, field protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(data, field, protowire.BytesType), s)
}

// encodeUpdates encodes as many of the first updates as fit into maxBytes, and returns their number.
func encodeUpdates(updates []memberUpdate, maxBytes int) (data []byte, fitted int) {
	for _, u := range updates {
		next := protowire.AppendVarint(data, uint64(u.member)<<stateBits|uint64(u.state))
		next = protowire.AppendVarint(next, u.incarnation)
		if len(next) > maxBytes {
			break
		}
		data = next
		fitted++
	}
	return data, fitted
}
