// This file drives the second address on sockets. It must never hold more
// connections than its few, wait for a caller longer than it says, or let one that
// says nothing keep another from its answer.

package management

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/handshake"
)

const (
	patience = 6 * time.Second // for a whole call; who takes longer gives way to nobody, it is just closed
	writing  = time.Second     // for the answer
)

// Server answers at a second address.
type Server struct {
	relay    Relay
	log      *zap.Logger
	listener net.Listener
	begun    time.Time
	mu       sync.Mutex
	callers  *handshake.Pool // with it used up the oldest gives way
	left     chan struct{}   // somebody has gone
	all      sync.WaitGroup
}

// Listen opens a second address for at most so many connections at once.
func Listen(address string, most int, r Relay, log *zap.Logger) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("second address: %w", err)
	}
	return &Server{relay: r, log: log, listener: l, begun: time.Now(), callers: handshake.NewPool(most),
		left: make(chan struct{}, 1)}, nil
}

// Addr is where it listens.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve answers until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("accept at the second address", zap.Error(err))
			time.Sleep(5 * time.Millisecond)
			continue
		}
		g := s.enter(conn)
		s.all.Add(1)
		go func() {
			defer s.all.Done()
			defer s.leave(g, conn)
			s.call(conn)
		}()
	}
}

// Close ends the address, and with it everybody's connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, g := range s.callers.RemoveAll() {
		_ = g.Conn.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.all.Wait()
}

// Resize changes how many connections there may be.
func (s *Server) Resize(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers.Resize(most)
}

// enter takes a caller in. It waits no longer than it takes the oldest to have been heard.
func (s *Server) enter(conn net.Conn) *handshake.Connection {
	for {
		s.mu.Lock()
		in, out, wait := s.callers.Add(time.Since(s.begun), conn)
		s.mu.Unlock()
		if out != nil {
			_ = out.Conn.(net.Conn).Close()
		}
		if in != nil {
			return in
		}
		if wait > 0 {
			t := time.NewTimer(wait)
			select {
			case <-s.left:
			case <-t.C:
			}
			t.Stop()
		}
	}
}

func (s *Server) leave(g *handshake.Connection, conn net.Conn) {
	if p := recover(); p != nil {
		s.log.Error("panic at the second address", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
	}
	_ = conn.Close()
	s.mu.Lock()
	s.callers.Remove(g)
	s.mu.Unlock()
	select {
	case s.left <- struct{}{}:
	default:
	}
}

// call reads one call and answers it.
func (s *Server) call(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(patience))
	line, err := bufio.NewReaderSize(conn, MostLine).ReadSlice('\n')
	eol, answer := "\n", ""
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = fmt.Sprintf("FAILURE call over %d bytes", MostLine)
	case errors.Is(err, io.EOF) && len(line) > 0:
		answer = "FAILURE call cut short"
	case err != nil: // it left, said nothing, or had to give way
		return
	default:
		line = line[:len(line)-1]
		if n := len(line) - 1; n >= 0 && line[n] == '\r' {
			line, eol = line[:n], "\r\n"
		}
		answer = Answer(string(bytes.TrimSpace(line)), eol, s.relay)
	}
	if answer[len(answer)-1] != '\n' {
		answer += eol
	}
	if bytes.HasPrefix([]byte(answer), []byte("FAILURE")) {
		s.log.Warn("call answered with FAILURE", zap.Stringer("from", conn.RemoteAddr()), zap.ByteString("call", line),
			zap.String("answer", answer))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writing))
	if _, err := io.WriteString(conn, answer); err != nil {
		return
	}
	// Closing over unread bytes would reset the connection and take the answer with it.
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(handshake.LingerTimeout))
		_, _ = io.CopyN(io.Discard, c, handshake.MaxLingerBytes)
	}
}
