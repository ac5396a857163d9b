package routing

import "aspenbarrow/balance"

// Any as a class, tenant, zone or protocol of a Match accepts every value.
const Any = -1

// The protocols by which a request can arrive.
const (
	ProtocolLine = iota
	ProtocolAMQP
)

// keyWidth is the number of bits of a request key.
const keyWidth = 64

// Match holds the conditions of a route; a request has to meet all of them.
type Match struct {
	Class    int    // index of the class, or Any
	Tenant   int    // index of the tenant, or Any
	Zone     int    // index of the relay's zone, or Any
	Protocol int    // ProtocolLine, ProtocolAMQP or Any
	Group    uint64 // connection group; 0 accepts every group
	Key      uint64 // key prefix, left-aligned; only the first KeyBits bits count
	KeyBits  int    // length of the key prefix in bits, at most 64; 0 accepts every key
}

// MatchAll accepts every request.
var MatchAll = Match{Class: Any, Tenant: Any, Zone: Any, Protocol: Any}

// Request holds the attributes of a request that routes can match on.
type Request struct {
	Class, Tenant, Zone, Protocol int // indexes; Zone is that of the relay
	Group                         uint64
	Key                           uint64
}

// Route assigns a retry policy to the requests that it matches.
type Route struct {
	Name        string // for messages
	Match       Match
	RetryPolicy balance.RetryPolicy
}

// fieldSet holds which attributes of a request a Match tests.
type fieldSet struct {
	class, tenant, zone, protocol, group bool
	keyMask                              uint64 // selects the prefix of the key; 0: the key is ignored
}

// matchValues are the values of the attributes in a fieldSet; the others are zero.
type matchValues struct {
	class, tenant, zone, protocol int32
	group, key                    uint64
}

// fields returns the attributes that m tests.
func (m *Match) fields() fieldSet {
	fields := fieldSet{
		class:    m.Class != Any,
		tenant:   m.Tenant != Any,
		zone:     m.Zone != Any,
		protocol: m.Protocol != Any,
		group:    m.Group != 0,
	}
	if m.KeyBits > 0 {
		fields.keyMask = ^uint64(0) << (keyWidth - min(m.KeyBits, keyWidth))
	}
	return fields
}

// sample returns a request with the values of m. Its values are meaningless for attributes that m does not test.
func (m *Match) sample() Request {
	return Request{Class: m.Class, Tenant: m.Tenant, Zone: m.Zone, Protocol: m.Protocol, Group: m.Group, Key: m.Key}
}

// valuesOf reduces a request to the attributes in f.
func (f *fieldSet) valuesOf(request *Request) (values matchValues) {
	if f.class {
		values.class = int32(request.Class)
	}
	if f.tenant {
		values.tenant = int32(request.Tenant)
	}
	if f.zone {
		values.zone = int32(request.Zone)
	}
	if f.protocol {
		values.protocol = int32(request.Protocol)
	}
	if f.group {
		values.group = request.Group
	}
	values.key = request.Key & f.keyMask
	return values
}

// subsetOf reports whether f holds no attribute, and no bit of the key, that other lacks.
func (f *fieldSet) subsetOf(other *fieldSet) bool {
	return (!f.class || other.class) &&
		(!f.tenant || other.tenant) &&
		(!f.zone || other.zone) &&
		(!f.protocol || other.protocol) &&
		(!f.group || other.group) &&
		f.keyMask&other.keyMask == f.keyMask
}
