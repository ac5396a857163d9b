// This file drives the handing over of a relay from one process to the next, on a
// Unix socket in the folder that both see: the listening sockets, so that there is
// one queue and nobody in it is turned back, and what the machine hands on. It must
// never keep either process waiting for longer than it says, take anything from
// another user's process, or be needed: without it each process serves by itself.

package relay

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/hotrestart"
)

const (
	handOverTimeout = time.Second            // for the whole of it; then the next process starts as a fresh one
	reportInterval  = 100 * time.Millisecond // how often the old process says what it still holds and sees
	handOverMagic   = "abO1"                 // begins what is handed over: its form
	lineServing     = "SERVING"              // new to old: it takes who comes from now on
	lineDescriptors = "HELD"                 // old to new: so many descriptors are still the old one's
	lineLoad        = "SEEN"                 // old to new: what it goes on seeing of the backends
	lineDrain       = "DRAIN"                // both ways: staff have said so to one of them
	lineUndrain     = "UNDRAIN"
)

// listenShared opens a listening socket that another process of this relay may open as well.
func listenShared(log *zap.Logger) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		if err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); err != nil {
			failed = err
		}
		if failed != nil {
			log.Warn("address cannot be shared with a next process", zap.Error(failed))
		}
		return nil
	}}
}

// link is one side of the talk between two processes of a relay.
type processLink struct {
	conn   *net.UnixConn
	reader *bufio.Reader
	mu     sync.Mutex
}

// say sends a line. A process that takes none is given up by whoever reads.
func (l *processLink) writeLine(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(handOverTimeout))
	_, _ = io.WriteString(l.conn, line+"\n")
}

func (l *processLink) readLine() (string, error) {
	var line []byte
	for {
		part, err := l.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return string(line[:len(line)-1]), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case len(line) > hotrestart.MaxDocumentBytes:
			return "", fmt.Errorf("a line over %d bytes", hotrestart.MaxDocumentBytes)
		}
	}
}

// links are those to the processes before and after this one, for what staff say to one of them.
type processLinks struct {
	mu  sync.Mutex
	all []*processLink
}

func (s *processLinks) add(l *processLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, l)
}

func (s *processLinks) remove(l *processLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.all {
		if s.all[i] == l {
			s.all = append(s.all[:i], s.all[i+1:]...)
			return
		}
	}
}

// say tells all of them without waiting.
func (s *processLinks) broadcast(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.all {
		go l.writeLine(line)
	}
}

// close ends all of them.
func (s *processLinks) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.all {
		_ = l.conn.Close()
	}
}

// drainWord passes what staff said to the other process on to this one.
func (r *Relay) applyDrainLine(line string) {
	if line == lineDrain || line == lineUndrain {
		r.setDrained(line == lineDrain)
	}
}

// meeting is where the next process finds this one.
func hotRestartPath(cfg *Config) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, cfg.Listen+" "+cfg.Name)
	return filepath.Join(cfg.Scratch, fmt.Sprintf("aspenbarrow-%08x.sock", h.Sum32()))
}

// --- the new process -----------------------------------------------------------------

// legacy is what the old process has handed over.
type predecessor struct {
	*processLink
	listener      *net.TCPListener
	peerConn      net.PacketConn // nil: it hears none
	stateDocument []byte
	exited        chan struct{} // closed once the old process is gone
}

// alive says whether the old process still runs.
func (g *predecessor) alive() bool {
	if g == nil {
		return false
	}
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// inherit asks the old process, if there is one.
func connectPredecessor(cfg *Config, log *zap.Logger) *predecessor {
	if cfg.Management == "" || cfg.Scratch == "" {
		return nil
	}
	path := hotRestartPath(cfg)
	c, err := net.DialTimeout("unix", path, handOverTimeout/4)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) { // nobody there, or one that was killed
			log.Warn("nothing is taken over", zap.Error(err))
		}
		return nil
	}
	l, err := receiveHandOver(&processLink{conn: c.(*net.UnixConn), reader: bufio.NewReader(c)}, cfg)
	if err != nil {
		_ = c.Close()
		log.Warn("nothing is taken over", zap.Error(err))
		return nil
	}
	return l
}

// receive reads the sockets and what goes with them.
func receiveHandOver(l *processLink, cfg *Config) (*predecessor, error) {
	if err := sameUser(l.conn); err != nil {
		return nil, err
	}
	_ = l.conn.SetDeadline(time.Now().Add(handOverTimeout))
	head, rights := make([]byte, len(handOverMagic)+4), make([]byte, unix.CmsgSpace(2*4))
	n, nr, _, _, err := l.conn.ReadMsgUnix(head, rights)
	if err == nil && n < len(head) {
		_, err = io.ReadFull(l.conn, head[n:])
	}
	if err != nil {
		return nil, fmt.Errorf("the old process says nothing: %w", err)
	}
	files, err := receivedFiles(rights[:nr])
	for _, f := range files {
		defer f.Close()
	}
	size := binary.BigEndian.Uint32(head[len(handOverMagic):])
	switch {
	case err != nil:
		return nil, err
	case string(head[:len(handOverMagic)]) != handOverMagic || size > hotrestart.MaxDocumentBytes || len(files) == 0:
		return nil, fmt.Errorf("the old process hands over what this one does not know: %q, %d bytes, %d sockets",
			head[:len(handOverMagic)], size, len(files))
	}
	g := &predecessor{processLink: l, stateDocument: make([]byte, size), exited: make(chan struct{})}
	if _, err := io.ReadFull(l.conn, g.stateDocument); err != nil {
		return nil, fmt.Errorf("the old process has not said all: %w", err)
	}
	_ = l.conn.SetDeadline(time.Time{})
	ln, err := net.FileListener(files[0])
	if err != nil {
		return nil, fmt.Errorf("listening socket: %w", err)
	}
	tcp, ok := ln.(*net.TCPListener)
	if !ok || !sameAddress(tcp.Addr().String(), cfg.Listen) {
		_ = ln.Close()
		return nil, fmt.Errorf("the old process listens at %v, not at %s", ln.Addr(), cfg.Listen)
	}
	g.listener = tcp
	if len(files) > 1 && cfg.PeerListen != "" {
		if p, err := net.FilePacketConn(files[1]); err == nil && sameAddress(p.LocalAddr().String(), cfg.PeerListen) {
			g.peerConn = p
		} else if err == nil {
			_ = p.Close()
		}
	}
	return g, nil
}

func receivedFiles(rights []byte) (files []*os.File, err error) {
	all, err := unix.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	for _, m := range all {
		fds, err := unix.ParseUnixRights(&m)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// sameAddress says whether a socket's address is the one that is wanted, of which the port may be any.
func sameAddress(have, want string) bool {
	host, port, err := net.SplitHostPort(want)
	h, p, err2 := net.SplitHostPort(have)
	return err == nil && err2 == nil && h == host && (port == "0" || p == port)
}

func sameUser(c *net.UnixConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var cred *unix.Ucred
	if err2 := raw.Control(func(fd uintptr) { cred, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) }); err2 != nil {
		err = err2
	}
	if err == nil && int(cred.Uid) != os.Getuid() {
		err = fmt.Errorf("the other process is user %d's", cred.Uid)
	}
	return err
}

// succeed takes over from the old process once this one is ready, and hears it to its end.
func (r *Relay) followPredecessor(g *predecessor) {
	r.processLinks.add(g.processLink)
	defer r.processLinks.remove(g.processLink)
	defer close(g.exited)
	for {
		line, err := g.readLine()
		if err != nil {
			_ = g.conn.Close()
			r.log.Info("the old process has ended")
			r.post(func(now time.Duration) {
				r.controller.SetOtherProcessDescriptors(now, 0)
				_ = r.controller.ImportLoad(now, nil)
			})
			return
		}
		switch word, rest, _ := strings.Cut(line, " "); word {
		case lineDescriptors:
			if n, err := strconv.Atoi(rest); err == nil {
				r.post(func(now time.Duration) { r.controller.SetOtherProcessDescriptors(now, n) })
			}
		case lineLoad:
			r.post(func(now time.Duration) {
				if err := r.controller.ImportLoad(now, []byte(rest)); err != nil {
					r.log.Warn("what the old process sees cannot be read", zap.Error(err))
				}
			})
		default:
			r.applyDrainLine(line)
		}
	}
}

// --- the old process -----------------------------------------------------------------

// estate is where the next process may come.
type successorListener struct {
	relay    *Relay
	path     string
	mu       sync.Mutex
	listener *net.UnixListener // nil: closed
	closed   bool
}

// newEstate opens the meeting place in the name of this process. What an older one has left there goes.
func newSuccessorListener(cfg *Config, r *Relay) (*successorListener, error) {
	e := &successorListener{relay: r, path: hotRestartPath(cfg)}
	return e, e.open()
}

func (e *successorListener) open() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return net.ErrClosed
	}
	if e.listener != nil {
		_ = e.listener.Close()
	}
	own := fmt.Sprintf("%s.%d", e.path, os.Getpid())
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then it may be the next process's
	if err := os.Rename(own, e.path); err != nil {
		_ = l.Close()
		return err
	}
	e.listener = l
	return nil
}

// serve waits for the next process, and for another if that one ends first: the place was its own by then.
func (e *successorListener) serve() {
	for {
		c, err := e.listener.AcceptUnix()
		if err != nil {
			return
		}
		l := &processLink{conn: c, reader: bufio.NewReader(c)}
		if err := e.handOver(l); err != nil {
			e.relay.log.Warn("nothing is handed over", zap.Error(err))
		}
		_ = c.Close()
		if err := e.open(); err != nil {
			return
		}
	}
}

func (e *successorListener) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed = true; e.listener != nil {
		_ = e.listener.Close()
	}
}

// give hands over, and from then on lets the next process take who comes for as long as it lives.
func (e *successorListener) handOver(l *processLink) error {
	r := e.relay
	if err := sameUser(l.conn); err != nil {
		return err
	}
	type will struct {
		text []byte
		err  error
	}
	asked := make(chan will, 1)
	go r.post(func(now time.Duration) {
		text, err := r.controller.ExportState(now)
		asked <- will{text, err}
	})
	var w will
	select {
	case w = <-asked:
	case <-time.After(handOverTimeout / 2):
		w.err = errors.New("the loop has no time")
	}
	if w.err != nil {
		return w.err
	}
	fds, done, err := r.sharedDescriptors()
	if err != nil {
		return err
	}
	defer done()
	head := binary.BigEndian.AppendUint32([]byte(handOverMagic), uint32(len(w.text)))
	_ = l.conn.SetWriteDeadline(time.Now().Add(handOverTimeout / 2))
	if _, _, err := l.conn.WriteMsgUnix(head, unix.UnixRights(fds...), nil); err != nil {
		return err
	}
	if _, err := l.conn.Write(w.text); err != nil {
		return err
	}
	r.log.Info("handed over to the next process", zap.Int("bytes", len(w.text)))
	r.processLinks.add(l)
	defer r.processLinks.remove(l)
	served := make(chan struct{})
	defer close(served)
	defer func() {
		select {
		case <-r.stopped: // this one has ended, not the other
			return
		default:
		}
		if r.controller.SetReplaced(false) { // also while this one leaves: nobody else is there to take who comes
			r.log.Warn("the next process has ended, this one takes who comes again")
			r.pauseAccepting(false)
		}
	}()
	for {
		line, err := l.readLine()
		if err != nil {
			return nil
		}
		if line == lineServing && !r.controller.SetReplaced(true) {
			r.pauseAccepting(true)
			go r.reportToSuccessor(l, served)
			continue
		}
		r.applyDrainLine(line)
	}
}

// descriptors are those of the sockets that the next process shares. They stay this process's; done is to be
// called once they have been sent.
func (r *Relay) sharedDescriptors() (fds []int, done func(), err error) {
	var files []*os.File
	done = func() {
		for _, f := range files {
			_ = f.Close()
		}
	}
	f, err := r.listener.File()
	if err != nil {
		return nil, done, err
	}
	files = append(files, f)
	if c, ok := r.peers.packetConn().(*net.UDPConn); ok {
		if f, err := c.File(); err == nil {
			files = append(files, f)
		}
	}
	for _, f := range files {
		raw, err := f.SyscallConn()
		if err != nil {
			return nil, done, err
		}
		// Not Fd: that would have the socket block, for both processes.
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return nil, done, err
		}
	}
	return fds, done, nil
}

// tellNext says what this process still holds and goes on seeing, until the next one has ended.
func (r *Relay) reportToSuccessor(l *processLink, served <-chan struct{}) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	last, asked := -1, make(chan []byte, 1)
	for {
		if n := r.descriptorsInUse(); n != last {
			l.writeLine(fmt.Sprintf("%s %d", lineDescriptors, n))
			last = n
		}
		go r.post(func(time.Duration) {
			text, _ := r.controller.ExportLoad()
			asked <- text
		})
		select {
		case text := <-asked:
			if len(text) > 0 {
				l.writeLine(lineLoad + " " + string(text))
			}
		case <-served:
			return
		}
		select {
		case <-tick.C:
		case <-served:
			return
		}
	}
}

// held is how many descriptors this process may have in use.
func (r *Relay) descriptorsInUse() int {
	return 2*int(r.sessionCount.Load()) + r.handshakes.size() + controller.ReservedDescriptors + int(r.auxiliaryDescriptors.Load())
}

// park has this process leave those who come to the next one, or take them again.
func (r *Relay) pauseAccepting(on bool) {
	if on {
		_ = r.listener.SetDeadline(time.Unix(1, 0))
	} else {
		_ = r.listener.SetDeadline(time.Time{})
		select {
		case r.resumeAccept <- struct{}{}:
		default:
		}
	}
	r.peers.setPaused(on)
}

// awaitTurn holds a process that has taken over until it is ready, or the old one is gone.
func (r *Relay) awaitReadiness(ctx context.Context, g *predecessor) bool {
	select {
	case <-r.endpointsReceived:
	case <-g.exited:
	case <-ctx.Done():
		return false
	}
	return true
}
