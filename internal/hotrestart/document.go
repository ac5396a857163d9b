// Package hotrestart defines the document in which a relay process hands its state to its successor while both run: its
// format, limits and validation. A successor that receives no valid document starts without state.
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
	// documentVersion is incremented when processes of the previous version could no longer read the document.
	documentVersion = 1
	// MaxDocumentBytes is the size limit of an encoded document.
	MaxDocumentBytes = 1 << 20
	// maxDocumentAge bounds the age of an accepted document: both processes run at the same time, so an older document
	// was left by a hot restart that failed.
	maxDocumentAge = 10 * time.Second
)

// Document is the state that a process hands to its successor. Processes of other versions read its JSON keys, so a key
// stays when its field is renamed.
type Document struct {
	Version     int              `json:"version"` // set by Encode
	Name        string           `json:"name"`    // name of the relay
	WrittenAt   time.Duration    `json:"at"`      // on the clock that both processes share
	Classes     []string         `json:"classes"` // names of all classes by number, retired ones included
	Drained     bool             `json:"drained"`
	Incarnation uint64           `json:"incarnation,omitempty"` // in the membership protocol; 0: membership is off
	SharesIDs   bool             `json:"shares_ids,omitempty"`  // the predecessor answers ShareIDs; earlier versions do not
	Backends    []BackendRecord  `json:"members"`
	Snapshot    balance.Snapshot `json:"memory"`

	// ListVersion is the newest one of which the predecessor has been told, by discovery or by another process.
	ListVersion discovery.ListVersion `json:"list_version,omitzero"`
}

// BackendRecord is one backend of the latest endpoint list.
type BackendRecord struct {
	Name    string          `json:"name"`
	Address string          `json:"addr"`
	Backend balance.Backend `json:"line"`

	// Told is with which version discovery told this entry; zero: it did not, or the predecessor is of an earlier version.
	Told discovery.ListVersion `json:"told,omitzero"`
	// ClosedAt is when the backend was first listed as draining or removed, on the clock that the processes share; 0: it is open.
	ClosedAt time.Duration `json:"closed_at,omitempty"`
}

// Encode returns the document as JSON, in the version of this process. A document over MaxDocumentBytes is returned
// together with a *SizeError.
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

// Decode parses and validates a document for the relay with the given name. No part of an invalid document is returned.
// Every error matches ErrUnusable and is a *SyntaxError, *VersionError, *RelayError, *AgeError or *BackendError.
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

// RemapClasses reorders the snapshot's class loads by this process's class numbers. The entry after the last class is the
// load over all classes; it stays last. If the number of class loads does not
// match the number of the document's classes, all class loads are dropped.
func (d *Document) RemapClasses(names []string) {
	s := &d.Snapshot
	if len(s.ClassLoads) != len(d.Classes)+1 || len(s.ClassLoadSamples) != len(s.ClassLoads) {
		s.ClassLoads, s.ClassLoadSamples = nil, nil
		return
	}
	loads, samples := make([]float64, len(names)+1), make([]float64, len(names)+1)
	for number, name := range names {
		for oldNumber, oldName := range d.Classes { // among classes of the same name the last one is the newest
			if oldName == name && s.ClassLoadSamples[oldNumber] > 0 {
				loads[number], samples[number] = s.ClassLoads[oldNumber], s.ClassLoadSamples[oldNumber]
			}
		}
	}
	overall, oldOverall := len(names), len(d.Classes)
	loads[overall], samples[overall] = s.ClassLoads[oldOverall], s.ClassLoadSamples[oldOverall]
	s.ClassLoads, s.ClassLoadSamples = loads, samples
}
