package session

import (
	"bytes"
	"time"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/protocol"
)

// maxPings is how many PING and STATS lines may come before OPEN: their answers fit into any socket's send buffer, read or
// not.
const maxPings = 16

// Handshake is what the first bytes of a client ask for.
type Handshake struct {
	Consumed int    // bytes that are done with
	Reply    string // to be written to the client
	Opened   bool   // OPEN is whole; its bytes are to stay in place until the session is established
}

// ReadHandshake takes in all bytes that the client has sent and that are not consumed yet; ready says whether the relay takes
// sessions, for the answer to PING.
func (s *Session) ReadHandshake(now time.Duration, b []byte, ready bool) (Handshake, error) {
	reader := protocol.ClientReader{Settings: s.settings}
	kind, length, err := reader.Feed(b)
	if err != nil {
		return Handshake{}, err
	}
	switch kind {
	case protocol.KindPing:
		return s.answerPing(length, ready)
	case protocol.KindOpen:
		if len(b) > length { // a client waits for its answer: what comes with OPEN is meant for a backend's parser
			return Handshake{}, ErrDataBeforeAnswer
		}
		err = s.open(now, reader.Open)
		return Handshake{Opened: true}, err
	}
	return Handshake{}, nil
}

func (s *Session) answerPing(length int, ready bool) (Handshake, error) {
	s.pings++
	if s.pings > maxPings {
		return Handshake{}, ErrTooManyPings
	}
	reply := protocol.AnswerNotReady
	if ready {
		reply = protocol.AnswerReady
	}
	return Handshake{Consumed: length, Reply: reply}, nil
}

func (s *Session) open(now time.Duration, open protocol.Open) (err error) {
	s.Open, s.ArrivedAt = open, now
	if now-s.acceptedAt < handshake.EvictionGrace { // else it was sent after the connection was accepted
		s.ArrivedAt -= s.queuedFor
	}
	if s.pings > 0 { // the caller's buffer may move once the pings in front of the line are consumed
		s.Open, err = protocol.ParseOpen(bytes.Clone(open.Line), s.settings)
	}
	return err
}

// HandshakeEnded says what was wrong with an end before any OPEN line, when so many bytes of a line had come; nil: nothing, a
// client may leave.
func (s *Session) HandshakeEnded(end EndKind, bytesRead int) error {
	switch {
	case end == EndTimeout:
		return ErrHandshakeTimeout
	case end == EndFIN && bytesRead > 0:
		return ErrTruncatedLine
	}
	return nil
}
