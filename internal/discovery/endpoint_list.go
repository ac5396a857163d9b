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

// EndpointList is one response of discovery.
type EndpointList struct {
	Agent     string // address of the agent that has sent it; empty: a cached list
	Version   uint64
	Full      bool // it lists all endpoints; false: those that have changed since another version
	Partial   bool // entries that could not be parsed are left out
	Endpoints []Endpoint
}

// Endpoint is one backend in a list.
type Endpoint struct {
	Name, Address string // the address is host:port; it may be empty unless the backend is ready
	Backend       balance.Backend
}

// BackendID returns the balancer's ID of a backend: a hash of its name, the same on every relay.
func BackendID(name string) balance.BackendID {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return balance.BackendID(h.Sum64())
}

// ErrNoVersion is the error of a list without a version.
var ErrNoVersion = errors.New(`endpoint list has no field "version"`)

// UnknownStateError is the error of an endpoint in a state that is not part of discovery's protocol.
type UnknownStateError struct{ Backend, State string }

func (e *UnknownStateError) Error() string {
	return fmt.Sprintf("backend %q has unknown state %q, expected %q, %q or %q", e.Backend, e.State, stateReady, stateDraining, stateGone)
}

// IncompleteEndpointError is the error of an endpoint without a name, or of a ready one without an address.
type IncompleteEndpointError struct{ Backend, Address string }

func (e *IncompleteEndpointError) Error() string {
	return fmt.Sprintf("endpoint with id %q and addr %q is incomplete, expected an id and, in state %q, an addr", e.Backend, e.Address, stateReady)
}

// The states of an endpoint on the wire.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	stateGone     = "gone"
)

// listDocument is an endpoint list in discovery's JSON form.
type listDocument struct {
	Version *uint64           `json:"version"`
	Full    bool              `json:"full"`
	Servers []json.RawMessage `json:"servers"`
}

// endpointDocument is one endpoint of a listDocument. Zone and Kind are names, or their numbers in the settings.
type endpointDocument struct {
	ID        string          `json:"id"`
	Addr      string          `json:"addr"`
	Zone      json.RawMessage `json:"zone"`
	Kind      json.RawMessage `json:"kind"`
	Cell      int             `json:"cell"`
	State     string          `json:"state"`
	Weight    *float64        `json:"weight"`
	StartedMs float64         `json:"started_ms"`
}

// ParseEndpoints parses a list in discovery's form. One invalid endpoint fails the whole list: a partial list taken for a
// full one would remove backends.
func ParseEndpoints(body []byte, current *settings.Settings) (EndpointList, error) {
	list, invalid, err := ParseEndpointsLenient(body, current)
	if err = errors.Join(err, invalid); err != nil {
		return EndpointList{}, err
	}
	return list, nil
}

// ParseEndpointsLenient parses a list endpoint by endpoint and leaves out those that cannot be parsed: invalid joins their
// errors. An err concerns the list as a whole.
func ParseEndpointsLenient(body []byte, current *settings.Settings) (list EndpointList, invalid, err error) {
	var document listDocument
	if err := json.Unmarshal(body, &document); err != nil {
		return EndpointList{}, nil, err
	}
	if document.Version == nil {
		return EndpointList{}, nil, ErrNoVersion
	}
	list = EndpointList{Version: *document.Version, Full: document.Full}
	for _, raw := range document.Servers {
		endpoint, err := parseEndpoint(raw, current)
		if err != nil {
			invalid = errors.Join(invalid, err)
			continue
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, invalid, nil
}

func parseEndpoint(raw json.RawMessage, current *settings.Settings) (Endpoint, error) {
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
		Zone:   nameOrdinal(document.Zone, current.ZoneNames),
		Kind:   nameOrdinal(document.Kind, current.KindNames),
	}
	if document.StartedMs > 0 {
		backend.ReadyAt = time.Duration(document.StartedMs * float64(time.Millisecond))
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

// nameOrdinal returns a zone's or kind's number in the settings, given its name or the number itself. A name that is not in
// the settings gets a number above theirs, a hash of the name.
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
