package config

import (
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/routing"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
)

// Full names of keys that several checks report or refer to.
const (
	keyListen         = "relay.listen"
	keyName           = "relay.name"
	keyDiscovery      = "discovery.address"
	keyPeersListen    = "peers.listen"
	keyPeersAddresses = "peers.addresses"
	keyMembershipOn   = "membership.on"
	keyShadowReport   = "watch.report"
	keyZones          = "rules.zones"
)

// Seeds are written in hexadecimal and have 64 bits.
const (
	hexadecimal = 16
	wordBits    = 64
)

// builder converts a decoded document into a Config and reports the problems that concern several keys or the meaning of
// a value. Its methods run in a fixed order, which is the order of the problems at one place of the file.
type builder struct {
	*source
	doc *document
}

func (b *builder) config() Config {
	doc := b.doc
	b.checkAddresses()
	seed := b.seed()
	b.checkRelayIndex()
	b.checkPeers()
	b.checkDrainGrace()
	installation := b.settings()
	routes := b.routes(&installation)
	shape := b.shadow()
	detector := b.membership()
	return Config{
		Cores:    doc.Limits.Cores,
		LogLevel: doc.Log.Level,
		Relay: controller.Config{
			Name:           doc.Relay.Name,
			Listen:         doc.Relay.Listen,
			AdminListen:    doc.Relay.Management,
			Discovery:      doc.Discovery.Address,
			Seed:           seed,
			MemoryMB:       doc.Limits.MemoryMB,
			MaxDescriptors: doc.Limits.Sockets,
			PeerListen:     doc.Peers.Listen,
			Peers:          doc.Peers.Addresses,
			BroadcastPeer:  doc.Peers.Broadcast,
			Settings:       installation,
			Routes:         routes,
			Shadow:         shape,
			Membership:     detector,
		},
	}
}

// checkAddresses checks all addresses. A required one that the file lacks is already reported, or comes from the
// environment.
func (b *builder) checkAddresses() {
	doc := b.doc
	if b.given[keyListen] {
		b.checkAddress(keyListen, doc.Relay.Listen)
	}
	if b.given[keyDiscovery] {
		b.checkAddress(keyDiscovery, doc.Discovery.Address)
	}
	b.checkOptionalAddress("relay.management", doc.Relay.Management)
	b.checkOptionalAddress(keyPeersListen, doc.Peers.Listen)
	b.checkOptionalAddress("peers.all", doc.Peers.Broadcast)
	for _, peer := range doc.Peers.Addresses {
		b.checkAddress(keyPeersAddresses, peer)
	}
}

func (b *builder) checkOptionalAddress(key, address string) {
	if address != "" {
		b.checkAddress(key, address)
	}
}

func (b *builder) checkAddress(key, address string) {
	_, portText, err := net.SplitHostPort(address)
	port, portErr := strconv.Atoi(portText)
	if err != nil || portErr != nil || port < 0 || port > math.MaxUint16 {
		b.report(key, ErrInvalidValue, "%q is not an address with a port from 0 to %d", address, math.MaxUint16)
	}
}

func (b *builder) seed() uint64 {
	seed, err := strconv.ParseUint(b.doc.Relay.Seed, hexadecimal, wordBits)
	if err != nil {
		b.report("relay.seed", err, "%q is not a hexadecimal number of at most 16 digits", b.doc.Relay.Seed)
	}
	return seed
}

func (b *builder) checkRelayIndex() {
	relay := &b.doc.Relay
	if relay.Count < 1 {
		b.report("relay.relays", ErrOutOfRange, "%d is out of range: expected at least 1 relay", relay.Count)
	} else if relay.Index >= relay.Count {
		b.report("relay.number", ErrOutOfRange, "%d is out of range: expected 0 to %d, for %d relays (relay.relays)",
			relay.Index, relay.Count-1, relay.Count)
	}
}

func (b *builder) checkPeers() {
	doc := b.doc
	if count := len(doc.Peers.Addresses); doc.Peers.Listen != "" && count > 0 && count != doc.Relay.Count {
		b.report(keyPeersAddresses, ErrConflict, "%d addresses for %d relays (relay.relays)", count, doc.Relay.Count)
	}
	if doc.Rules.Gossip && doc.Peers.Listen == "" {
		b.report(keyPeersListen, ErrMissingKey, "is missing: it is required when rules.peers is true")
	}
}

func (b *builder) checkDrainGrace() {
	if own, limit := b.doc.Relay.DrainGrace, b.doc.Rules.DrainGrace; own > limit {
		b.report("relay.drain-grace", ErrConflict, "%v is longer than rules.drain-grace, %v", own, limit)
	}
}

// membership returns the settings of failure detection among relays; nil if it is off.
func (b *builder) membership() *membership.Settings {
	section := &b.doc.Membership
	if !section.Enabled {
		return nil
	}
	b.checkMembershipPeers()
	detector := membership.Settings{
		Fleet:               section.Fleet,
		ProtocolPeriod:      section.Period,
		ProbesPerPeriod:     section.FanOut,
		IndirectProbes:      section.Indirect,
		MinSuspicionTimeout: section.Suspicion,
		ForgetAfter:         section.Forget,
	}
	for _, fault := range detector.Validate() {
		b.report("membership."+fault.Key, ErrInvalidValue, "%s", fault.Reason)
	}
	return &detector
}

// checkMembershipPeers checks what membership requires of the rest of the file: datagrams are allowed, and the list of
// peers contains each relay once, this one included.
func (b *builder) checkMembershipPeers() {
	doc, addresses := b.doc, b.doc.Peers.Addresses
	if !doc.Rules.Gossip {
		b.report(keyMembershipOn, ErrConflict,
			"relays detect one another by datagrams, but rules.peers is false")
	}
	if len(addresses) == 0 {
		b.report(keyMembershipOn, ErrConflict, "peers.addresses is missing: expected the addresses of all relays")
	}
	for i, address := range addresses {
		if slices.Contains(addresses[:i], address) {
			b.report(keyPeersAddresses, ErrDuplicate, "%q is listed twice, but membership.on distinguishes relays by their addresses", address)
		}
	}
	if len(addresses) > 0 && isSpecificAddress(doc.Peers.Listen) && !slices.Contains(addresses, doc.Peers.Listen) {
		b.report(keyPeersListen, ErrConflict, "%q is not in peers.addresses: with membership.on, the other relays could not identify this relay",
			doc.Peers.Listen)
	}
}

// isSpecificAddress reports whether an address has a host other than 0.0.0.0 and ::, which mean all addresses of this machine.
func isSpecificAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != "" && host != net.IPv4zero.String() && host != net.IPv6zero.String()
}

// shadow returns the shape of the deployment for shadow evaluation; nil if that is off.
func (b *builder) shadow() *shadow.Shape {
	section := &b.doc.Shadow
	if !section.Enabled {
		return nil
	}
	if section.Gossip && b.doc.Peers.Listen == "" {
		b.report("watch.peers", ErrConflict, "relays would exchange datagrams, but peers.listen is missing")
	}
	if len(section.ReportFields) > 0 && !section.HealthChecks {
		b.report(keyShadowReport, ErrConflict, "load reports come with answers to health checks, but watch.probes is false")
	}
	if len(section.ReportFields) > 0 && !slices.Equal(section.ReportFields, b.doc.Rules.ReportFields) {
		b.report(keyShadowReport, ErrConflict, "got %q, but backends report the fields of rules.report: expected %q or none",
			section.ReportFields, b.doc.Rules.ReportFields)
	}
	shape := &shadow.Shape{
		HealthChecks: section.HealthChecks,
		Gossip:       section.Gossip,
		Groups:       section.Groups,
		RetryAfter:   section.RetryAfter,
		Weights:      weightModes[section.Weights],
	}
	for _, name := range section.ReportFields {
		shape.ReportFields = append(shape.ReportFields, settings.ReportField(name))
	}
	return shape
}

// checkNames checks that each name in a list is unique and can be written in a line of the protocol.
func (b *builder) checkNames(key string, names []string) {
	for i, name := range names {
		if name == "" || strings.ContainsAny(name, lineSeparators) {
			b.report(key, ErrInvalidValue, "%q is not a name: expected at least one character, and no space, comma or =", name)
		} else if slices.Contains(names[:i], name) {
			b.report(key, ErrDuplicate, "%q is listed twice", name)
		}
	}
}

// limits returns the bounds that the rules set on retry policies.
func (b *builder) limits() routing.Limits {
	return routing.Limits{
		MaxAttempts:  b.doc.Rules.MaxAttempts,
		Cancellation: b.doc.Rules.Cancellation,
		AnswerSlack:  b.doc.Rules.AnswerSlack,
	}
}
