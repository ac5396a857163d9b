// Package hotrestart is the document by which one process of a relay hands its state to its successor while both run:
// its format, its limits and its checks. A successor that gets no valid document starts without state.
//
// It neither transports the document (package relay) nor collects and applies the state (package controller).
package hotrestart

import (
	"encoding/json"
	"time"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

const (
	// documentVersion is raised when a document can no longer be read by the version before.
	documentVersion = 1
	// MaxDocumentBytes is the longest document that is written.
	MaxDocumentBytes = 1 << 20
	// maxDocumentAge bounds how long ago a document was written: both processes run at once, so an older one is of a
	// hot restart that failed.
	maxDocumentAge = 10 * time.Second
)

// Document is the state that a process hands to its successor. Its JSON keys are read by processes of other versions,
// so they stay when a field is renamed.
type Document struct {
	Version     int              `json:"version"` // set by Encode
	Name        string           `json:"name"`    // of the relay
	WrittenAt   time.Duration    `json:"at"`      // on the clock that both processes share
	Classes     []string         `json:"classes"` // names of all classes by number, retired ones included
	Drained     bool             `json:"drained"`
	Incarnation uint64           `json:"incarnation,omitempty"` // in the membership protocol; 0: it is off
	Backends    []BackendRecord  `json:"members"`
	Snapshot    balance.Snapshot `json:"memory"`
}

// BackendRecord is one backend as the endpoint list had it last.
type BackendRecord struct {
	Name    string          `json:"name"`
	Address string          `json:"addr"`
	Backend balance.Backend `json:"line"`
}

// Encode writes the document in the version of this process. A document over MaxDocumentBytes is returned with a
// *SizeError.
func (d Document) Encode() ([]byte, error) {
	d.Version = documentVersion
	text, err := json.Marshal(d)
	if err != nil {
		return text, err
	}
	if len(text) > MaxDocumentBytes {
		return text, &SizeError{len(text)}
	}
	return text, nil
}

// Decode reads a document for the relay of a name. It is accepted whole or not at all: every error meets ErrUnusable,
// and is a *SyntaxError, *VersionError, *RelayError, *AgeError or *BackendError.
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
	age := now - d.WrittenAt
	switch {
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

// EndpointList returns the document's backends as a full endpoint list.
func (d *Document) EndpointList() discovery.EndpointList {
	list := discovery.EndpointList{Full: true}
	for _, b := range d.Backends {
		list.Endpoints = append(list.Endpoints, discovery.Endpoint{Name: b.Name, Address: b.Address, Backend: b.Backend})
	}
	return list
}

// RemapClasses reorders the snapshot's loads of classes by the numbers that the classes have in this process. The entry
// after the last class is over all classes and stays. Loads that do not fit the document's classes are dropped.
func (d *Document) RemapClasses(names []string) {
	s := &d.Snapshot
	if len(s.ClassLoads) != len(d.Classes)+1 || len(s.ClassLoadSamples) != len(s.ClassLoads) {
		s.ClassLoads, s.ClassLoadSamples = nil, nil
		return
	}
	loads, samples := make([]float64, len(names)+1), make([]float64, len(names)+1)
	for number, name := range names {
		for oldNumber, oldName := range d.Classes { // of several with one name the last is the newest
			if oldName == name && s.ClassLoadSamples[oldNumber] > 0 {
				loads[number], samples[number] = s.ClassLoads[oldNumber], s.ClassLoadSamples[oldNumber]
			}
		}
	}
	overall, oldOverall := len(names), len(d.Classes)
	loads[overall], samples[overall] = s.ClassLoads[oldOverall], s.ClassLoadSamples[oldOverall]
	s.ClassLoads, s.ClassLoadSamples = loads, samples
}
