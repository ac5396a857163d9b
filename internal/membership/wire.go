// This file owns the datagrams: protobuf's wire form behind a leading byte, 256 bytes at most. It must never take what
// is torn, of another fleet or beyond its bounds, nor make a datagram as long as the notices of older versions are.

package membership

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// MaxDatagram is the most bytes of one.
const MaxPacketSize = 256

const (
	lead    = 0xb5 // of every datagram here
	notice  = 8    // bytes of an older version's notice: no datagram here has as many
	version = 1    // of the protocol
	maxName = 32   // bytes of a name or a fleet's
)

// Kinds of datagram.
const (
	kindPing = iota + 1
	kindAck
	kindAsk  // probe a third one
	kindNack // the third one has not answered
	kindNews // nothing but entries
)

// Numbers of the fields. Others are passed over.
const (
	fieldVersion = iota + 1
	fieldFleet
	fieldName
	fieldStart
	fieldIncarnation
	fieldKind
	fieldSeq
	fieldTarget
	fieldEntries
	fieldHealth
)

// entry is what a relay holds of a member.
type entry struct {
	member      int
	state       State
	incarnation uint64
}

type message struct {
	fleet       string
	name        string
	start       uint64 // of the sender's process, Unix time in milliseconds
	incarnation uint64 // the sender's
	kind        int
	seq         uint64
	target      int // of kindAsk, and of a ping made for another: who is meant
	health      int
	entries     []entry
}

// head is the datagram without its entries.
func (m *message) head() []byte {
	b := append(make([]byte, 0, MaxPacketSize), lead)
	num := func(field protowire.Number, v uint64) {
		b = protowire.AppendTag(b, field, protowire.VarintType)
		b = protowire.AppendVarint(b, v)
	}
	text := func(field protowire.Number, s string) {
		b = protowire.AppendTag(b, field, protowire.BytesType)
		b = protowire.AppendString(b, s)
	}
	num(fieldVersion, version)
	text(fieldFleet, m.fleet)
	text(fieldName, m.name)
	num(fieldStart, m.start)
	num(fieldIncarnation, m.incarnation)
	num(fieldKind, uint64(m.kind))
	num(fieldSeq, m.seq)
	if m.target > 0 {
		num(fieldTarget, uint64(m.target))
	}
	if m.health > 0 {
		num(fieldHealth, uint64(m.health))
	}
	return b
}

// encode makes the datagram with as many entries as fit, in their order, and says how many those are.
func (m *message) encode() (data []byte, fitted int) {
	b := m.head()
	room := MaxPacketSize - len(b) - 3 // of the entries' tag and length
	var list []byte
	for _, e := range m.entries {
		next := protowire.AppendVarint(list, uint64(e.member)<<3|uint64(e.state))
		if next = protowire.AppendVarint(next, e.incarnation); len(next) > room {
			break
		}
		list = next
		fitted++
	}
	if len(list) > 0 {
		b = protowire.AppendTag(b, fieldEntries, protowire.BytesType)
		b = protowire.AppendBytes(b, list)
	}
	if len(b) == notice {
		b = protowire.AppendTag(b, 15, protowire.VarintType)
		b = protowire.AppendVarint(b, 0)
	}
	return b, fitted
}

var errNone = errors.New("no datagram of this kind")

// Ours says whether a datagram is one of these rather than an older version's notice.
func IsMessage(data []byte) bool { return len(data) > 0 && len(data) != notice && data[0] == lead }

// decode reads a datagram. members is how many there can be.
func decode(data []byte, members int) (m message, err error) {
	if !IsMessage(data) || len(data) > MaxPacketSize {
		return m, errNone
	}
	seen := uint64(0)
	for b := data[1:]; len(b) > 0; {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return m, fmt.Errorf("a field's tag: %w", protowire.ParseError(n))
		}
		b = b[n:]
		var v uint64
		var text []byte
		switch {
		case kind == protowire.VarintType && field <= fieldHealth:
			v, n = protowire.ConsumeVarint(b)
		case kind == protowire.BytesType && field <= fieldHealth:
			text, n = protowire.ConsumeBytes(b)
		default: // unknown, or of a later version
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return m, fmt.Errorf("field %d: %w", field, protowire.ParseError(n))
		}
		b = b[n:]
		if field > fieldHealth {
			continue
		}
		wantsText := field == fieldFleet || field == fieldName || field == fieldEntries
		if wantsText != (kind == protowire.BytesType) || !wantsText && kind != protowire.VarintType {
			return m, fmt.Errorf("field %d has another form", field)
		}
		seen |= 1 << field
		switch field {
		case fieldVersion:
			if v != version {
				return m, fmt.Errorf("protocol version %d", v)
			}
		case fieldFleet, fieldName:
			if len(text) == 0 || len(text) > maxName {
				return m, fmt.Errorf("a name of %d bytes", len(text))
			}
			if field == fieldFleet {
				m.fleet = string(text)
			} else {
				m.name = string(text)
			}
		case fieldStart:
			m.start = v
		case fieldIncarnation:
			m.incarnation = v
		case fieldKind:
			if v < kindPing || v > kindNews {
				return m, fmt.Errorf("kind %d", v)
			}
			m.kind = int(v)
		case fieldSeq:
			m.seq = v
		case fieldTarget:
			if v > uint64(members) {
				return m, fmt.Errorf("member %d of %d", v, members)
			}
			m.target = int(v)
		case fieldHealth:
			m.health = int(min(v, worstHealth))
		case fieldEntries:
			if m.entries, err = entries(text, members); err != nil {
				return m, err
			}
		}
	}
	const needed = 1<<fieldVersion | 1<<fieldFleet | 1<<fieldName | 1<<fieldIncarnation | 1<<fieldKind
	if seen&needed != needed {
		return m, errors.New("fields are missing")
	}
	return m, nil
}

func entries(b []byte, members int) (out []entry, err error) {
	for len(b) > 0 {
		v, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, fmt.Errorf("an entry: %w", protowire.ParseError(n))
		}
		b = b[n:]
		inc, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return nil, fmt.Errorf("an entry's incarnation: %w", protowire.ParseError(n))
		}
		b = b[n:]
		e := entry{state: State(v & 7), incarnation: inc}
		if v>>3 >= uint64(members) || e.state > Left || e.state == Joining {
			return nil, fmt.Errorf("an entry of member %d, state %d", v>>3, e.state)
		}
		e.member = int(v >> 3)
		out = append(out, e)
	}
	return out, nil
}
