package hotrestart

import (
	"encoding/json"

	"aspenbarrow/balance"
)

// EncodeLoad encodes the state of a process's backends, such as the tracked loads, for its successor while both run. Sticky
// overrides, class loads and the lateness of kinds, which the document has already handed over, are omitted.
func EncodeLoad(s balance.Snapshot) ([]byte, error) {
	s.StickyOverrides, s.ClassLoads, s.ClassLoadSamples, s.KindLateness = nil, nil, nil, nil
	return json.Marshal(s)
}

// DecodeLoad parses the output of EncodeLoad; an empty text means that the predecessor has exited. Its error is a
// *SyntaxError.
func DecodeLoad(text []byte) (balance.Snapshot, error) {
	var s balance.Snapshot
	if len(text) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return balance.Snapshot{}, &SyntaxError{err}
	}
	return s, nil
}
