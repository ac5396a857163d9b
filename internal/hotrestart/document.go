// Package hotrestart is the document by which one process of a relay hands its state to the next while both run: its
// form, its limits and its checks. A process that finds no valid document starts without state.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

const (
	documentVersion = 1
	// MaxDocumentBytes is the longest document that is written.
	MaxDocumentBytes = 1 << 20
	maxDocumentAge   = 10 * time.Second
)

// Document is what one process of a relay tells the next. Its JSON keys are read by processes of other versions, so they
// stay when a field here is renamed.
type Document struct {
	Version     int              `json:"version"`
	Name        string           `json:"name"`
	WrittenAt   time.Duration    `json:"at"`
	Classes     []string         `json:"classes"`
	Drained     bool             `json:"drained"`
	Incarnation uint64           `json:"incarnation,omitempty"` // among the relays
	Backends    []BackendRecord  `json:"members"`
	Snapshot    balance.Snapshot `json:"memory"`
}

// BackendRecord is one backend as the endpoint list had it last.
type BackendRecord struct {
	Name    string          `json:"name"`
	Address string          `json:"addr"`
	Backend balance.Backend `json:"line"`
}

// ErrUnusable is met by every error of a document that is refused.
var ErrUnusable = errors.New("what the old process handed over cannot be used")

// SyntaxError is a document that is no JSON of the expected form.
type SyntaxError struct{ Err error }

func (e *SyntaxError) Error() string { return fmt.Sprintf("%v: %v", ErrUnusable, e.Err) }

// Unwrap meets ErrUnusable and the decoder's error.
func (e *SyntaxError) Unwrap() []error { return []error{ErrUnusable, e.Err} }

// VersionError is a document of another version.
type VersionError struct{ Version int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("%v: version %d, this process knows %d", ErrUnusable, e.Version, documentVersion)
}

// Unwrap meets ErrUnusable.
func (e *VersionError) Unwrap() error { return ErrUnusable }

// RelayError is a document of another relay.
type RelayError struct{ Name string }

func (e *RelayError) Error() string { return fmt.Sprintf("%v: it is relay %q's", ErrUnusable, e.Name) }

// Unwrap meets ErrUnusable.
func (e *RelayError) Unwrap() error { return ErrUnusable }

// AgeError is a document that was written too long ago, or by a clock that runs ahead.
type AgeError struct{ Age time.Duration }

func (e *AgeError) Error() string { return fmt.Sprintf("%v: it is %v old", ErrUnusable, e.Age) }

// Unwrap meets ErrUnusable.
func (e *AgeError) Unwrap() error { return ErrUnusable }

// BackendError is a record of a backend that lacks its name or address, or whose id is not its name's.
type BackendError struct{ Name, Address string }

func (e *BackendError) Error() string {
	return fmt.Sprintf("%v: backend %q at %q", ErrUnusable, e.Name, e.Address)
}

// Unwrap meets ErrUnusable.
func (e *BackendError) Unwrap() error { return ErrUnusable }

// Encode writes the document under the version of this process. It fails over MaxDocumentBytes.
func (d Document) Encode() ([]byte, error) {
	d.Version = documentVersion
	text, err := json.Marshal(d)
	if err == nil && len(text) > MaxDocumentBytes {
		err = fmt.Errorf("%d bytes, over %d", len(text), MaxDocumentBytes)
	}
	return text, err
}

// Decode reads a document for the relay of a name. It is taken whole or not at all: every error meets ErrUnusable.
func Decode(text []byte, name string, now time.Duration) (Document, error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return Document{}, &SyntaxError{err}
	}
	if err := d.check(name, now); err != nil {
		return Document{}, err
	}
	return d, nil
}

func (d *Document) check(name string, now time.Duration) error {
	switch age := now - d.WrittenAt; {
	case d.Version != documentVersion:
		return &VersionError{d.Version}
	case d.Name != name:
		return &RelayError{d.Name}
	case age > maxDocumentAge || -age > maxDocumentAge:
		return &AgeError{age}
	}
	for _, b := range d.Backends {
		if b.Name == "" || b.Address == "" || b.Backend.ID != discovery.BackendID(b.Name) {
			return &BackendError{b.Name, b.Address}
		}
	}
	return nil
}

// EndpointList is the document's backends as an endpoint list.
func (d *Document) EndpointList() discovery.EndpointList {
	l := discovery.EndpointList{Full: true}
	for _, b := range d.Backends {
		l.Endpoints = append(l.Endpoints, discovery.Endpoint{Name: b.Name, Address: b.Address, Backend: b.Backend})
	}
	return l
}

// RemapClasses has the loads of classes go by their numbers in this process.
func (d *Document) RemapClasses(names []string) {
	m := &d.Snapshot
	if len(m.ClassLoads) != len(d.Classes)+1 || len(m.ClassLoadSamples) != len(m.ClassLoads) {
		m.ClassLoads, m.ClassLoadSamples = nil, nil
		return
	}
	usual, seen := make([]float64, len(names)+1), make([]float64, len(names)+1)
	for i, name := range names {
		for j, old := range d.Classes { // of several by one name the last is the newest
			if old == name && m.ClassLoadSamples[j] > 0 {
				usual[i], seen[i] = m.ClassLoads[j], m.ClassLoadSamples[j]
			}
		}
	}
	usual[len(names)], seen[len(names)] = m.ClassLoads[len(d.Classes)], m.ClassLoadSamples[len(d.Classes)]
	m.ClassLoads, m.ClassLoadSamples = usual, seen
}

// EncodeLoad writes the loads that a process goes on seeing, for the next one while both run.
func EncodeLoad(m balance.Snapshot) ([]byte, error) {
	m.StickyOverrides, m.ClassLoads, m.ClassLoadSamples, m.KindLateness = nil, nil, nil, nil
	return json.Marshal(m)
}

// DecodeLoad reads them; an empty text says that the other process has ended.
func DecodeLoad(text []byte) (m balance.Snapshot, err error) {
	if len(text) == 0 {
		return m, nil
	}
	if err := json.Unmarshal(text, &m); err != nil {
		return balance.Snapshot{}, &SyntaxError{err}
	}
	return m, nil
}
