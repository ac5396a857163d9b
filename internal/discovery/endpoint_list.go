package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/settings"
)

// EndpointList is one answer of discovery.
type EndpointList struct {
	Version   uint64
	Full      bool // it names all endpoints; false: those that have changed since another version
	Endpoints []Endpoint
}

// Endpoint is one backend in a list.
type Endpoint struct {
	Name, Address string // the address is host:port; it may be empty unless the backend is ready
	Backend       balance.Backend
}

// BackendID is the balancer's id of a backend: a hash of its name, alike on every relay.
func BackendID(name string) balance.BackendID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return balance.BackendID(h.Sum64())
}

// ErrNoVersion is a list without a version.
var ErrNoVersion = errors.New("no version")

// UnknownStateError is an endpoint in a state that the protocol of discovery doesn't have.
type UnknownStateError struct{ Backend, State string }

func (e *UnknownStateError) Error() string {
	return fmt.Sprintf("backend %q has unknown state %q", e.Backend, e.State)
}

// IncompleteEndpointError is an endpoint without a name, or one that is ready and has no address.
type IncompleteEndpointError struct{ Backend, Address string }

func (e *IncompleteEndpointError) Error() string {
	return fmt.Sprintf("backend %q at %q lacks a name or an address", e.Backend, e.Address)
}

// The states of an endpoint on the wire.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// listDocument is a list as discovery writes it.
type listDocument struct {
	Version *uint64           `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`
}

// endpointDocument is one entry of it. Zones and kinds are names, or numbers of the settings.
type endpointDocument struct {
	ID      string          `json:"id"`
	Addr    string          `json:"addr"`
	Zone    json.RawMessage `json:"zone"`
	Kind    json.RawMessage `json:"kind"`
	Cell    int             `json:"cell"`
	State   string          `json:"state"`
	Weight  *float64        `json:"weight"`
	Started float64         `json:"started_ms"`
}

// ParseEndpoints reads a list in discovery's form. One bad endpoint fails the whole list: half a list taken for a whole one
// would declare backends gone.
func ParseEndpoints(body []byte, names *settings.Settings) (EndpointList, error) {
	list, invalid, err := ParseEndpointsLenient(body, names)
	if err = errors.Join(err, invalid); err != nil {
		return EndpointList{}, err
	}
	return list, nil
}

// ParseEndpointsLenient reads a list endpoint by endpoint and leaves out those that cannot be read: invalid joins their
// errors. An err is about the list as a whole.
func ParseEndpointsLenient(body []byte, names *settings.Settings) (list EndpointList, invalid, err error) {
	var document listDocument
	if err := json.Unmarshal(body, &document); err != nil {
		return EndpointList{}, nil, err
	}
	if document.Version == nil {
		return EndpointList{}, nil, ErrNoVersion
	}
	list = EndpointList{Version: *document.Version, Full: document.Full}
	for _, raw := range document.Servers {
		endpoint, err := parseEndpoint(raw, names)
		if err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, invalid, nil
}

func parseEndpoint(raw json.RawMessage, names *settings.Settings) (Endpoint, error) {
	var document endpointDocument
	if err := json.Unmarshal(raw, &document); err != nil {
		return Endpoint{}, err
	}
	state, err := document.state()
	if err != nil {
		return Endpoint{}, err
	}
	if document.ID == "" || document.Addr == "" && state == balance.StateReady {
		return Endpoint{}, &IncompleteEndpointError{Backend: document.ID, Address: document.Addr}
	}
	backend := balance.Backend{
		ID:     BackendID(document.ID),
		Cell:   document.Cell,
		Weight: 1,
		State:  state,
		Zone:   nameOrdinal(document.Zone, names.ZoneNames),
		Kind:   nameOrdinal(document.Kind, names.KindNames),
	}
	if document.Started > 0 {
		backend.ReadyAt = time.Duration(document.Started * float64(time.Millisecond))
	}
	if document.Weight != nil {
		backend.Weight = *document.Weight
	}
	return Endpoint{Name: document.ID, Address: document.Addr, Backend: backend}, nil
}

func (d *endpointDocument) state() (balance.BackendState, error) {
	switch d.State {
	case stateReady:
		return balance.StateReady, nil
	case stateDraining:
		return balance.StateDraining, nil
	case stateGone:
		return balance.StateRemoved, nil
	}
	return balance.StateRemoved, &UnknownStateError{Backend: d.ID, State: d.State}
}

// nameOrdinal is a zone's or kind's number in the settings, given its name or the number itself. A name that the settings
// don't have gets a number of its own above theirs.
func nameOrdinal(raw json.RawMessage, names []string) int {
	var name string
	if json.Unmarshal(raw, &name) != nil {
		var ordinal int
		_ = json.Unmarshal(raw, &ordinal) // 0 where it is neither
		return ordinal
	}
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, name)
	return len(names) + int(h.Sum32()>>2)
}
