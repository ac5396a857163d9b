package session

import (
	"bytes"
	"fmt"
	"time"

	"aspenbarrow/internal/handshake"
	"aspenbarrow/internal/protocol"
)

// maxPings is how many PING and STATS lines may precede OPEN: their answers fit into any socket's send buffer even if the
// client does not read them.
const maxPings = 16

// Handshake is the result of reading the first bytes of a client.
type Handshake struct {
	Consumed int    // bytes that the caller may discard
	Reply    string // to be written to the client
	Opened   bool   // the OPEN line is complete; its bytes must stay in place until the session is established
}

// ReadHandshake parses the first line among the bytes that the client has sent and that are not consumed yet. The answer
// to PING and STATS depends on ready, which is set if the relay accepts sessions. receivedAt is when the last of the bytes
// arrived: the client's time-out starts there, not when the relay gets to accept the connection or to read from it.
func (s *Session) ReadHandshake(receivedAt time.Duration, b []byte, ready bool) (Handshake, error) {
	reader := protocol.ClientReader{Settings: s.settings}
	kind, length, err := reader.Feed(b)
	if err != nil {
		return Handshake{}, err
	}
	switch kind {
	case protocol.KindPing:
		return s.answerPing(length, ready)
	case protocol.KindOpen:
		if len(b) > length { // a client must wait for its answer: data sent with OPEN is meant for a backend's parser
			return Handshake{}, ErrDataBeforeAnswer
		}
		err = s.open(receivedAt, reader.Open)
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

func (s *Session) open(receivedAt time.Duration, open protocol.Open) (err error) {
	s.Open, s.ArrivedAt = open, receivedAt
	if s.pings > 0 { // the caller's buffer may move once the PING and STATS lines before OPEN are consumed
		s.Open, err = protocol.ParseOpen(bytes.Clone(open.Line), s.settings)
	}
	return err
}

// HandshakeEnded returns the error of a connection that ended before a complete OPEN line, bytesRead bytes after the last
// complete line; nil if the client may end it there.
func (s *Session) HandshakeEnded(end EndKind, bytesRead int) error {
	switch {
	case end == EndTimeout:
		return fmt.Errorf("%w: no complete OPEN line within %v, got %d bytes of a line", ErrHandshakeTimeout,
			handshake.HandshakeTimeout, bytesRead)
	case end == EndFIN && bytesRead > 0:
		return fmt.Errorf("%w: got %d bytes, expected CRLF", ErrTruncatedLine, bytesRead)
	}
	return nil
}
