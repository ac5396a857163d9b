package relay

import (
	"bufio"
	"errors"
	"net"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"aspenbarrow/internal/protocol"
)

const (
	// bufferReserveBytes lets a reader wait for bytes beyond the longest line without moving that line in its buffer.
	bufferReserveBytes = 256

	// kernelTick is the coarsest resolution of the kernel's socket times (HZ=100).
	kernelTick = 10 * time.Millisecond
)

// bufferedConn is a connection with the reader that holds its buffered bytes.
type bufferedConn struct {
	conn   *net.TCPConn
	reader *textproto.Reader
}

// readerPool holds the buffers of ended connections for reuse. An established session uses two buffers.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, protocol.MaxLineLength+bufferReserveBytes) }}

func newBufferedConn(conn *net.TCPConn) *bufferedConn {
	r := readerPool.Get().(*bufio.Reader)
	r.Reset(conn)
	return &bufferedConn{conn, textproto.NewReader(r)}
}

// recycle returns the buffer to the pool. The connection must not be read afterwards.
func (c *bufferedConn) recycle() {
	c.reader.R.Reset(nil)
	readerPool.Put(c.reader.R)
	c.reader = nil
}

// peekBeyond waits for more than seen buffered bytes and returns all that are buffered, in place.
func (c *bufferedConn) peekBeyond(seen int) ([]byte, error) {
	if _, err := c.reader.R.Peek(seen + 1); err != nil && c.reader.R.Buffered() <= seen {
		return nil, err
	}
	return c.reader.R.Peek(c.reader.R.Buffered())
}

// discard consumes n buffered bytes.
func (c *bufferedConn) discard(n int) { _, _ = c.reader.R.Discard(n) }

// hasPendingInput reports whether a client that waits for its answer has closed its connection or sent more. It peeks at
// the socket, since the goroutine that reads the client may not be scheduled yet: on a saturated core that can take longer
// than the time within which an attempt may still start. It does not block and consumes nothing. Errors that do not
// show the client's end are left to that goroutine.
func (c *bufferedConn) hasPendingInput() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return true // closed
	}
	var b [1]byte
	pending := false
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		pending = err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return err != nil || pending
}

// lastInputAge returns how long ago the client's last bytes arrived, according to the kernel. They may have arrived while
// the connection was in the accept queue, or long before the goroutine that reads them was scheduled. It returns 0 for bytes
// that arrived within kernelTick, and if the kernel does not tell.
func (c *bufferedConn) lastInputAge() (age time.Duration) {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0 // closed
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if age <= kernelTick {
		return 0
	}
	return age
}

// isTimeout reports whether a read, write, accept or HTTP request ended by its deadline rather than by the connection's end.
func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
