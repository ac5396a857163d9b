package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/membership"
	"aspenbarrow/internal/settings"
	"aspenbarrow/internal/shadow"
)

// jsonNull is the JSON value that is treated as an absent one.
const jsonNull = "null"

// platformObject is the platform's JSON file as encoding/json decodes it.
//
// The errors of encoding/json contain the name of the Go struct around a field with a value of the wrong type, and the
// texts that operators see must not change. So platformObject and membershipObject are aliases of unnamed types, and
// the type limits and its fields, which are printed as well, keep their names.
type platformObject = struct {
	Name       string            `json:"name"`
	Listen     string            `json:"listen"`
	Discovery  string            `json:"discovery"`
	Management string            `json:"management"`
	Seed       string            `json:"seed"` // hexadecimal
	Limits     limits            `json:"limits"`
	PeerListen string            `json:"peer_listen"`
	Peers      []string          `json:"peers"`
	PeersAll   string            `json:"peers_all"`
	Known      json.RawMessage   `json:"known"` // endpoint list, in discovery's form
	Settings   json.RawMessage   `json:"settings"`
	Watch      json.RawMessage   `json:"watch"` // settings of the shadow evaluation
	Membership *membershipObject `json:"membership"`
}

type limits struct {
	Cores    float64              `json:"cores"`
	MemoryMB settings.WholeNumber `json:"memory_mb"`
	Sockets  settings.WholeNumber `json:"sockets"`
}

type membershipObject = struct {
	Fleet       string  `json:"fleet"`
	PeriodMS    float64 `json:"period_ms"`
	SuspicionMS float64 `json:"suspicion_ms"`
}

// platformParser reads the platform's JSON file.
type platformParser struct {
	file   string
	object platformObject
}

// parsePlatform reads a text in the platform's JSON. Its errors are *KeyError, for the first invalid key.
func parsePlatform(file string, text []byte, env Environment, reload bool) (Config, error) {
	p := platformParser{file: file}
	if err := p.decode(text); err != nil {
		return Config{}, err
	}
	object := &p.object
	env.override(reload, overrides{
		name:       &object.Name,
		listen:     &object.Listen,
		discovery:  &object.Discovery,
		management: &object.Management,
	})
	relay, err := p.relay(reload)
	if err != nil {
		return Config{}, err
	}
	relay.RuntimeDir = env(variableTempDir)
	return Config{Cores: object.Limits.Cores, Relay: relay, platform: text}, nil
}

// fail returns the error of a key.
func (p *platformParser) fail(key string, value any, cause error, format string, args ...any) error {
	return &KeyError{File: p.file, Key: key, Value: value, Err: cause, text: fmt.Sprintf(format, args...)}
}

func (p *platformParser) decode(text []byte) error {
	err := json.Unmarshal(text, &p.object)
	if err == nil {
		return nil
	}
	key, value := "", any(nil)
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		key, value = wrongType.Field, wrongType.Value
	}
	return p.fail(key, value, err, "%s: %v", p.file, err)
}

// relay converts the decoded object.
func (p *platformParser) relay(reload bool) (controller.Config, error) {
	object := &p.object
	if err := p.checkAddresses(); err != nil {
		return controller.Config{}, err
	}
	if err := p.checkLimits(); err != nil {
		return controller.Config{}, err
	}
	seed, err := strconv.ParseUint(object.Seed, hexadecimal, wordBits)
	if err != nil {
		return controller.Config{}, p.fail("seed", object.Seed, err, "seed %q is not a hexadecimal number of at most 16 digits: %v",
			object.Seed, err)
	}
	installation, err := p.settings(reload)
	if err != nil {
		return controller.Config{}, err
	}
	shape, err := p.shadow()
	if err != nil {
		return controller.Config{}, err
	}
	detector, err := p.membership(&installation)
	if err != nil {
		return controller.Config{}, err
	}
	return controller.Config{
		Name:            object.Name,
		Listen:          object.Listen,
		Discovery:       object.Discovery,
		AdminListen:     object.Management,
		Seed:            seed,
		MemoryMB:        int(object.Limits.MemoryMB),
		MaxDescriptors:  int(object.Limits.Sockets),
		PeerListen:      object.PeerListen,
		Peers:           object.Peers,
		BroadcastPeer:   object.PeersAll,
		CachedEndpoints: p.cachedEndpoints(),
		Settings:        installation,
		Shadow:          shape,
		Membership:      detector,
	}, nil
}

func (p *platformParser) checkAddresses() error {
	object := &p.object
	if object.Listen == "" || object.Discovery == "" {
		key := "listen"
		if object.Listen != "" {
			key = "discovery"
		}
		return p.fail(key, nil, ErrMissingKey, "%s is missing: expected an address", key)
	}
	if _, _, err := net.SplitHostPort(object.Discovery); err != nil {
		return p.fail("discovery", object.Discovery, err, "discovery: %v", err)
	}
	if object.Management == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(object.Management); err != nil {
		return p.fail("management", object.Management, err, "management: %v", err)
	}
	return nil
}

func (p *platformParser) checkLimits() error {
	resources := p.object.Limits
	if resources.Cores < 0 || resources.MemoryMB < 0 || resources.Sockets < 0 {
		return p.fail("limits", resources, ErrOutOfRange, "limits %+v: expected no value below 0", resources)
	}
	return nil
}

// settings parses the settings object. It is validated here at a start, and by CheckReplacement at a reload.
func (p *platformParser) settings(reload bool) (settings.Settings, error) {
	installation, err := settings.Parse(p.object.Settings)
	if err == nil && !reload {
		err = settings.Validate(p.object.Settings)
	}
	if err != nil {
		return settings.Settings{}, p.failSettings("settings", err, "")
	}
	return installation, nil
}

// failSettings returns the error of the settings object that a key holds.
func (p *platformParser) failSettings(key string, err error, prefix string) error {
	var field *settings.FieldError
	if !errors.As(err, &field) {
		return p.fail(key, nil, err, "%s%v", prefix, err)
	}
	if field.Field != "" {
		key = joinKey(key, field.Field)
	}
	return p.fail(key, field.Value, err, "%s%v", prefix, err)
}

// cachedEndpoints returns the endpoint list as the relay last had it; nil if the file has none.
func (p *platformParser) cachedEndpoints() []byte {
	if string(p.object.Known) == jsonNull {
		return nil
	}
	return p.object.Known
}

// shadow returns the shape of the settings of the shadow evaluation; nil if the file has none.
func (p *platformParser) shadow() (*shadow.Shape, error) {
	text := p.object.Watch
	if len(text) == 0 || string(text) == jsonNull {
		return nil, nil
	}
	shadowed, err := settings.Parse(text)
	if err != nil {
		return nil, p.failSettings("watch", err, "watch: ")
	}
	if shadowed.Gossip && p.object.PeerListen == "" {
		return nil, p.fail("watch.limits.peers", true, ErrConflict, "watch: relays would exchange datagrams, but peer_listen is missing")
	}
	return shadow.ShapeOf(&shadowed.Settings), nil
}

// membership returns the settings of failure detection among relays; nil if it is off.
func (p *platformParser) membership(installation *settings.Settings) (*membership.Settings, error) {
	object := p.object.Membership
	if object == nil {
		return nil, nil
	}
	detector := membership.DefaultSettings(object.Fleet)
	if object.PeriodMS > 0 {
		detector.ProtocolPeriod = settings.FromMilliseconds(object.PeriodMS)
	}
	if object.SuspicionMS > 0 {
		detector.MinSuspicionTimeout = settings.FromMilliseconds(object.SuspicionMS)
	}
	if faults := detector.Validate(); len(faults) > 0 {
		return nil, p.fail("membership."+faults[0].Key, nil, ErrInvalidValue, "membership: %s: %s", faults[0].Key, faults[0].Reason)
	}
	if !installation.Gossip || p.object.PeerListen == "" || len(p.object.Peers) <= installation.RelayIndex {
		return nil, p.fail("membership", nil, ErrConflict,
			"membership: expected settings.limits.peers to be true, peer_listen to be set and peers to include this relay")
	}
	return &detector, nil
}
