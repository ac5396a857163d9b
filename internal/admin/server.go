package admin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"aspenbarrow/internal/handshake"
)

// MaxLineBytes is the maximum length of a command's line, its end included.
const MaxLineBytes = 256

const (
	readTimeout      = 6 * time.Second      // from the accept to the end of the command's line
	writeTimeout     = time.Second          // for the response
	acceptRetryDelay = 5 * time.Millisecond // after a failed accept: descriptors may be exhausted briefly
)

// Errors of a command's line. Their texts are sent to the client.
var (
	errLineTooLong = fmt.Errorf("call over %d bytes", MaxLineBytes)
	errTruncated   = errors.New("call cut short")
)

// Server serves the admin endpoint. The number of connections is bounded: a new connection evicts the oldest one when the
// limit is reached, so that clients that send no command cannot block others.
type Server struct {
	relay    Relay
	log      *zap.Logger
	listener net.Listener
	started  time.Time // zero of the pool's clock

	mu   sync.Mutex
	pool *handshake.Pool

	released chan struct{}  // signals that a connection has left the pool
	handlers sync.WaitGroup // one per connection
}

// Listen opens the endpoint for at most maxConnections connections at once. Its errors wrap those of package net.
func Listen(address string, maxConnections int, relay Relay, log *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin endpoint: %w", err)
	}
	return &Server{
		relay:    relay,
		log:      log,
		listener: listener,
		started:  time.Now(),
		pool:     handshake.NewPool(maxConnections),
		released: make(chan struct{}, 1),
	}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error("admin endpoint: accept failed", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		connection := s.admit(conn)
		s.handlers.Add(1)
		go func() {
			defer s.handlers.Done()
			defer s.release(connection, conn)
			s.handle(conn)
		}()
	}
}

// Close stops accepting, closes all connections and waits for their handlers.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, connection := range s.pool.RemoveAll() {
		_ = connection.Conn.(net.Conn).Close()
	}
	s.mu.Unlock()
	s.handlers.Wait()
}

// SetMaxConnections changes the maximum number of connections.
func (s *Server) SetMaxConnections(maxConnections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool.Resize(maxConnections)
}

// admit adds a connection to the pool. If the pool is full, it evicts and closes the oldest one; it waits first if that one
// still has time to send its command.
func (s *Server) admit(conn net.Conn) *handshake.Connection {
	for {
		s.mu.Lock()
		admitted, evicted, wait := s.pool.Add(time.Since(s.started), conn)
		s.mu.Unlock()
		if evicted != nil {
			_ = evicted.Conn.(net.Conn).Close()
		}
		if admitted != nil {
			return admitted
		}
		if wait > 0 {
			s.awaitRelease(wait)
		}
	}
}

// awaitRelease waits until a connection leaves the pool, at most for limit.
func (s *Server) awaitRelease(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.released:
	case <-timer.C:
	}
}

// release closes a connection and removes it from the pool. It recovers a panic of the connection's handler.
func (s *Server) release(connection *handshake.Connection, conn net.Conn) {
	if p := recover(); p != nil {
		s.log.Error("panic in admin endpoint", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
	}
	_ = conn.Close()
	s.mu.Lock()
	s.pool.Remove(connection)
	s.mu.Unlock()
	select {
	case s.released <- struct{}{}:
	default:
	}
}

// handle reads one command and sends the response.
func (s *Server) handle(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(readTimeout))
	line, lineEnd, err := readLine(bufio.NewReaderSize(conn, MaxLineBytes))
	var response string
	switch {
	case err == nil:
		response = Execute(string(bytes.TrimSpace(line)), lineEnd, s.relay)
	case errors.Is(err, errLineTooLong) || errors.Is(err, errTruncated):
		response = failure + " " + err.Error() + lineEnd
	default: // the client closed, sent nothing in time, or was evicted
		return
	}
	if strings.HasPrefix(response, failure) {
		s.log.Warn("admin command answered with FAILURE", zap.Stringer("from", conn.RemoteAddr()), zap.ByteString("call", line),
			zap.String("answer", response))
	}
	send(conn, response)
}

// readLine reads a line and returns it and its line end, which the response also uses. If the line is incomplete, it
// returns the bytes that were read with errLineTooLong or errTruncated.
func readLine(reader *bufio.Reader) (line []byte, lineEnd string, err error) {
	line, err = reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return line, "\n", errLineTooLong
	case errors.Is(err, io.EOF) && len(line) > 0:
		return line, "\n", errTruncated
	case err != nil:
		return nil, "", err
	}
	line = line[:len(line)-1]
	if withoutCR, ok := bytes.CutSuffix(line, []byte("\r")); ok {
		return withoutCR, "\r\n", nil
	}
	return line, "\n", nil
}

// send sends a response and waits, at most for LingerTimeout, for the client to close: closing a connection with unread
// bytes resets it, and the client might lose the response.
func send(conn net.Conn, response string) {
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := io.WriteString(conn, response); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(handshake.LingerTimeout))
		_, _ = io.CopyN(io.Discard, tcp, handshake.MaxLingerBytes)
	}
}
