package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"aspenbarrow/balance"
	"aspenbarrow/internal/discovery"
)

// EndpointMessagePrefix begins each line of an encoded EndpointMessage. Processes of different versions exchange it.
const EndpointMessagePrefix = "ENDPOINTS "

// ErrEndpointMessage is matched by the errors of ParseEndpointMessage.
var ErrEndpointMessage = errors.New("malformed message about endpoints")

// EndpointMessage reports entries of the endpoint list that discovery has told one process of a relay to another one.
type EndpointMessage struct {
	Backends []BackendRecord
}

// Encode returns the message as lines of up to MaxDocumentBytes, without their line feeds. Each line is a message by itself.
// A record that is too long for a line is left out: the error matches *SizeError.
func (m EndpointMessage) Encode() (lines []string, err error) {
	text, err := json.Marshal(m.Backends)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEndpointMessage, err)
	}
	line := EndpointMessagePrefix + string(text)
	if len(line) < MaxDocumentBytes {
		return []string{line}, nil
	}
	if len(m.Backends) < 2 {
		return nil, &SizeError{len(line)}
	}
	half := len(m.Backends) / 2
	first, firstErr := EndpointMessage{m.Backends[:half]}.Encode()
	second, secondErr := EndpointMessage{m.Backends[half:]}.Encode()
	return append(first, second...), errors.Join(firstErr, secondErr)
}

// ParseEndpointMessage parses one line of the output of Encode. One invalid record fails the whole message. Its errors match
// ErrEndpointMessage.
func ParseEndpointMessage(line string) (EndpointMessage, error) {
	text, isMessage := strings.CutPrefix(line, EndpointMessagePrefix)
	if !isMessage {
		return EndpointMessage{}, fmt.Errorf("%w: no prefix %q", ErrEndpointMessage, EndpointMessagePrefix)
	}
	var message EndpointMessage
	if err := json.Unmarshal([]byte(text), &message.Backends); err != nil {
		return EndpointMessage{}, fmt.Errorf("%w: %w", ErrEndpointMessage, err)
	}
	for _, b := range message.Backends {
		if err := b.check(); err != nil {
			return EndpointMessage{}, fmt.Errorf("%w: %w", ErrEndpointMessage, err)
		}
		if !b.Told.Told() {
			return EndpointMessage{}, fmt.Errorf("%w: backend %q without the version of discovery's list", ErrEndpointMessage, b.Name)
		}
	}
	return message, nil
}

// check reports a record that is incomplete or inconsistent. Only a ready backend needs an address.
func (b *BackendRecord) check() error {
	addressMissing := b.Address == "" && b.Backend.State == balance.StateReady
	if b.Name == "" || addressMissing || b.Backend.ID != discovery.BackendID(b.Name) || b.Backend.State > balance.StateDraining {
		return &BackendError{b.Name, b.Address}
	}
	return nil
}
