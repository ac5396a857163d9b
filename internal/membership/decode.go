package membership

import "google.golang.org/protobuf/encoding/protowire"

// requiredFields are the fields that every message must have, as a bit set by field number.
const requiredFields = 1<<fieldVersion | 1<<fieldFleet | 1<<fieldName | 1<<fieldIncarnation | 1<<fieldKind

// decodeMessage reads a datagram of a fleet whose list of peers has the given number of members. Errors are of type
// *decodeError.
func decodeMessage(data []byte, members int) (message, error) {
	if !IsMessage(data) || len(data) > MaxPacketSize {
		return message{}, newDecodeError(errNotMessage, 0, 0,
			"not a membership datagram: got %d bytes beginning with [%x], expected 1 to %d bytes (not %d) beginning with [%x]",
			len(data), data[:min(1, len(data))], MaxPacketSize, overloadNoticeSize, magicByte)
	}
	d := decoder{data: data, offset: 1, members: members}
	for d.offset < len(d.data) {
		if err := d.readField(); err != nil {
			return message{}, err
		}
	}
	if d.seen&requiredFields != requiredFields {
		return message{}, newDecodeError(errMissingField, 0, len(data),
			"required fields are missing: got fields %#x, expected at least %#x (bit sets by field number)", d.seen, uint64(requiredFields))
	}
	return d.msg, nil
}

// decoder reads the fields of one datagram.
type decoder struct {
	data    []byte
	offset  int    // offset of the next field
	members int    // length of the list of peers
	seen    uint64 // fields read so far, as a bit set by field number
	msg     message
}

// field is one field of a datagram.
type field struct {
	number   protowire.Number
	offset   int // offset of its tag in the datagram
	wireType protowire.Type
	varint   uint64
	bytes    []byte
}

// fail returns an error about the field.
func (f *field) fail(reason error, format string, args ...any) error {
	return newDecodeError(reason, f.number, f.offset, format, args...)
}

// readField reads the next field. Fields of later versions are skipped.
func (d *decoder) readField() error {
	f := field{offset: d.offset}
	number, wireType, n := protowire.ConsumeTag(d.data[d.offset:])
	if n < 0 {
		return newDecodeError(errMalformed, 0, d.offset, "invalid field tag: %w", protowire.ParseError(n))
	}
	f.number, f.wireType = number, wireType
	d.offset += n
	n = f.readValue(d.data[d.offset:])
	if n < 0 {
		return f.fail(errMalformed, "invalid value of field %d: %w", f.number, protowire.ParseError(n))
	}
	d.offset += n
	if f.number > lastField {
		return nil
	}
	if f.wireType != wireTypeOf(f.number) {
		return f.fail(errFieldType, "field %d has wire type %d, expected %d", f.number, f.wireType, wireTypeOf(f.number))
	}
	d.seen |= 1 << f.number
	return d.setField(&f)
}

// readValue reads the field's value and returns its length in bytes, or protowire's negative error code.
func (f *field) readValue(data []byte) (n int) {
	switch {
	case f.wireType == protowire.VarintType && f.number <= lastField:
		f.varint, n = protowire.ConsumeVarint(data)
	case f.wireType == protowire.BytesType && f.number <= lastField:
		f.bytes, n = protowire.ConsumeBytes(data)
	default:
		n = protowire.ConsumeFieldValue(f.number, f.wireType, data)
	}
	return n
}

// wireTypeOf returns the expected wire type of a known field.
func wireTypeOf(number protowire.Number) protowire.Type {
	switch number {
	case fieldFleet, fieldName, fieldUpdates:
		return protowire.BytesType
	default:
		return protowire.VarintType
	}
}

// setField validates a known field and sets it in the message.
func (d *decoder) setField(f *field) (err error) {
	switch f.number {
	case fieldVersion:
		err = f.checkVersion()
	case fieldFleet:
		d.msg.fleet, err = f.name()
	case fieldName:
		d.msg.name, err = f.name()
	case fieldStart:
		d.msg.startMillis = f.varint
	case fieldIncarnation:
		d.msg.incarnation = f.varint
	case fieldKind:
		d.msg.kind, err = f.kind()
	case fieldSequence:
		d.msg.sequence = f.varint
	case fieldTarget:
		d.msg.target, err = f.target(d.members)
	case fieldUpdates:
		d.msg.updates, err = f.updates(d.offset-len(f.bytes), d.members)
	case fieldHealth:
		d.msg.health = int(min(f.varint, maxHealthScore))
	}
	return err
}

func (f *field) checkVersion() error {
	if f.varint != protocolVersion {
		return f.fail(errVersion, "protocol version is %d, expected %d", f.varint, protocolVersion)
	}
	return nil
}

func (f *field) name() (string, error) {
	if len(f.bytes) == 0 || len(f.bytes) > maxNameLength {
		return "", f.fail(errNameLength, "name in field %d has %d bytes, expected 1 to %d", f.number, len(f.bytes), maxNameLength)
	}
	return string(f.bytes), nil
}

func (f *field) kind() (messageKind, error) {
	if f.varint < uint64(kindPing) || f.varint > uint64(kindGossip) {
		return 0, f.fail(errKind, "message kind is %d, expected %d to %d", f.varint, kindPing, kindGossip)
	}
	return messageKind(f.varint), nil
}

func (f *field) target(members int) (int, error) {
	if f.varint > uint64(members) {
		return 0, f.fail(errTarget, "target is %d, expected 0 to %d, the length of the list of peers", f.varint, members)
	}
	return int(f.varint), nil
}

// updates reads the list of updates, which begins at the given offset in the datagram.
func (f *field) updates(offset, members int) (updates []memberUpdate, err error) {
	for rest := f.bytes; len(rest) > 0; {
		u, n, err := decodeUpdate(rest, offset, members)
		if err != nil {
			return nil, err
		}
		updates = append(updates, u)
		rest = rest[n:]
		offset += n
	}
	return updates, nil
}

// decodeUpdate reads the update at the given offset in the datagram, and returns its length in bytes.
func decodeUpdate(data []byte, offset, members int) (u memberUpdate, length int, err error) {
	fail := func(reason error, format string, args ...any) (memberUpdate, int, error) {
		return memberUpdate{}, 0, newDecodeError(reason, fieldUpdates, offset, format, args...)
	}
	memberAndState, n := protowire.ConsumeVarint(data)
	if n < 0 {
		return fail(errMalformed, "invalid member and state of an update: %w", protowire.ParseError(n))
	}
	incarnation, k := protowire.ConsumeVarint(data[n:])
	if k < 0 {
		return fail(errMalformed, "invalid incarnation of an update: %w", protowire.ParseError(k))
	}
	member, state := memberAndState>>stateBits, State(memberAndState&stateMask)
	if member >= uint64(members) || state > Left || state == Joining {
		return fail(errUpdate, "update has member %d and state %d, expected a member below %d and a state from %d to %d",
			member, state, members, Alive, Left)
	}
	return memberUpdate{int(member), state, incarnation}, n + k, nil
}
