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

// builder turns a decoded document into a Config and reports what the document says amiss as a whole. The methods run
// in a fixed order, which is the order of the problems at one place of the file.
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

// checkAddresses checks all addresses. A required one that is missing is reported already, or the environment gave it.
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
		b.report(key, ErrInvalidValue, "%q is no address with a port", address)
	}
}

func (b *builder) seed() uint64 {
	seed, err := strconv.ParseUint(b.doc.Relay.Seed, hexadecimal, wordBits)
	if err != nil {
		b.report("relay.seed", err, "%q is no hexadecimal number of at most 16 digits", b.doc.Relay.Seed)
	}
	return seed
}

func (b *builder) checkRelayIndex() {
	relay := &b.doc.Relay
	if relay.Count < 1 {
		b.report("relay.relays", ErrOutOfRange, "there is one relay at least")
	} else if relay.Index >= relay.Count {
		b.report("relay.number", ErrOutOfRange, "relay %d of %d (relay.relays): numbers begin at 0", relay.Index, relay.Count)
	}
}

func (b *builder) checkPeers() {
	doc := b.doc
	if count := len(doc.Peers.Addresses); doc.Peers.Listen != "" && count > 0 && count != doc.Relay.Count {
		b.report(keyPeersAddresses, ErrConflict, "%d addresses for %d relays (relay.relays)", count, doc.Relay.Count)
	}
	if doc.Rules.Gossip && doc.Peers.Listen == "" {
		b.report(keyPeersListen, ErrMissingKey, "is missing, and rules.peers says that relays tell one another")
	}
}

func (b *builder) checkDrainGrace() {
	if own, limit := b.doc.Relay.DrainGrace, b.doc.Rules.DrainGrace; own > limit {
		b.report("relay.drain-grace", ErrConflict, "%v is over rules.drain-grace, %v", own, limit)
	}
}

// membership returns the settings by which relays detect one another; nil if they do not.
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

// checkMembershipPeers checks what membership wants of the rest of the file: datagrams are allowed, and the list of
// peers names each relay once, this one among them.
func (b *builder) checkMembershipPeers() {
	doc, addresses := b.doc, b.doc.Peers.Addresses
	if !doc.Rules.Gossip {
		b.report(keyMembershipOn, ErrConflict,
			"relays find out by datagrams who is there, and rules.peers says that they may send none")
	}
	if len(addresses) == 0 {
		b.report(keyMembershipOn, ErrConflict, "peers.addresses is missing: it says who may be there")
	}
	for i, address := range addresses {
		if slices.Contains(addresses[:i], address) {
			b.report(keyPeersAddresses, ErrDuplicate, "%q comes twice, and membership.on tells relays apart by their addresses", address)
		}
	}
	if len(addresses) > 0 && isSpecificAddress(doc.Peers.Listen) && !slices.Contains(addresses, doc.Peers.Listen) {
		b.report(keyPeersListen, ErrConflict, "%q is not in peers.addresses: with membership.on the others would not know this relay",
			doc.Peers.Listen)
	}
}

// isSpecificAddress says whether an address names one host rather than all of this machine's.
func isSpecificAddress(address string) bool {
	host, _, err := net.SplitHostPort(address)
	return err == nil && host != "" && host != net.IPv4zero.String() && host != net.IPv6zero.String()
}

// shadow returns the shape of deployment that is evaluated without acting on it; nil if there is none.
func (b *builder) shadow() *shadow.Shape {
	section := &b.doc.Shadow
	if !section.Enabled {
		return nil
	}
	if section.Gossip && b.doc.Peers.Listen == "" {
		b.report("watch.peers", ErrConflict, "relays would tell one another, and peers.listen is missing")
	}
	if len(section.ReportFields) > 0 && !section.HealthChecks {
		b.report(keyShadowReport, ErrConflict, "load reports come with answers to probes, and watch.probes says that there are none")
	}
	if len(section.ReportFields) > 0 && !slices.Equal(section.ReportFields, b.doc.Rules.ReportFields) {
		b.report(keyShadowReport, ErrConflict, "reports come in the form of rules.report, %q: watch that or none", b.doc.Rules.ReportFields)
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

// checkNames checks that each name in a list is unique and can stand in a line of the protocol.
func (b *builder) checkNames(key string, names []string) {
	for i, name := range names {
		if name == "" || strings.ContainsAny(name, lineSeparators) {
			b.report(key, ErrInvalidValue, "%q is no name: letters, digits and signs but space, comma and =", name)
		} else if slices.Contains(names[:i], name) {
			b.report(key, ErrDuplicate, "%q comes twice", name)
		}
	}
}

// limits returns the bounds that the rules set to retry policies.
func (b *builder) limits() routing.Limits {
	return routing.Limits{
		MaxAttempts:  b.doc.Rules.MaxAttempts,
		Cancellation: b.doc.Rules.Cancellation,
		AnswerSlack:  b.doc.Rules.AnswerSlack,
	}
}
