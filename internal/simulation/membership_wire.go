package simulation

import "google.golang.org/protobuf/encoding/protowire"

// Fields and kinds of membership datagrams that mutations rewrite.
const (
	incarnationField protowire.Number = 5
	kindField        protowire.Number = 6
	targetField      protowire.Number = 8
	updatesField     protowire.Number = 9
	paddingField     protowire.Number = 15

	pingReqKind = 3
	gossipKind  = 5

	updateStateBits = 3 // low bits of an update's first number; the others are the member's index
)

// wireField is one field of a membership datagram.
type wireField struct {
	number protowire.Number
	varint uint64
	bytes  []byte // nil: the field is a varint
}

// wireDatagram is a membership datagram, for mutations to rewrite.
type wireDatagram struct {
	magic  byte
	fields []wireField
}

// parseDatagram reads a datagram that a relay has encoded.
func parseDatagram(data []byte) (d wireDatagram) {
	d.magic = data[0]
	for rest := data[1:]; len(rest) > 0; {
		number, wireType, n := protowire.ConsumeTag(rest)
		rest = rest[n:]
		f := wireField{number: number}
		if wireType == protowire.BytesType {
			f.bytes, n = protowire.ConsumeBytes(rest)
		} else {
			f.varint, n = protowire.ConsumeVarint(rest)
		}
		rest = rest[n:]
		d.fields = append(d.fields, f)
	}
	return d
}

// encode returns the datagram's bytes.
func (d *wireDatagram) encode() []byte {
	data := []byte{d.magic}
	for _, f := range d.fields {
		if f.bytes != nil {
			data = protowire.AppendBytes(protowire.AppendTag(data, f.number, protowire.BytesType), f.bytes)
		} else {
			data = protowire.AppendVarint(protowire.AppendTag(data, f.number, protowire.VarintType), f.varint)
		}
	}
	return data
}

// field returns the field with a number, or nil.
func (d *wireDatagram) field(number protowire.Number) *wireField {
	for i := range d.fields {
		if d.fields[i].number == number {
			return &d.fields[i]
		}
	}
	return nil
}

// kind returns the kind of the message.
func (d *wireDatagram) kind() uint64 { return d.field(kindField).varint }

// rewriteUpdates replaces each update's incarnation by what rewrite returns, and drops those for which it returns false.
func (d *wireDatagram) rewriteUpdates(rewrite func(member int, incarnation uint64) (uint64, bool)) {
	f := d.field(updatesField)
	if f == nil {
		return
	}
	rewritten := []byte{}
	for rest := f.bytes; len(rest) > 0; {
		memberAndState, n := protowire.ConsumeVarint(rest)
		incarnation, k := protowire.ConsumeVarint(rest[n:])
		rest = rest[n+k:]
		if incarnation, keep := rewrite(int(memberAndState>>updateStateBits), incarnation); keep {
			rewritten = protowire.AppendVarint(protowire.AppendVarint(rewritten, memberAndState), incarnation)
		}
	}
	f.bytes = rewritten
}
