package relay

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenbarrow/internal/controller"
	"aspenbarrow/internal/hotrestart"
)

// descriptorsPerSession counts the client's connection and the backend's.
const descriptorsPerSession = 2

// successorListener waits for a successor at the hot restart socket.
type successorListener struct {
	relay    *Relay
	path     string
	mu       sync.Mutex
	listener *net.UnixListener // nil: not open yet
	closed   bool
}

// listenForSuccessor opens the hot restart socket; nil: this relay has none.
func (r *Relay) listenForSuccessor() *successorListener {
	cfg := &r.initialConfig
	if cfg.AdminListen == "" || cfg.RuntimeDir == "" {
		return nil
	}
	s, err := newSuccessorListener(cfg, r)
	if err != nil {
		r.log.Warn("hot restart socket unavailable", zap.Error(err))
		return nil
	}
	return s
}

// newSuccessorListener opens the hot restart socket and replaces one that an earlier process left behind.
func newSuccessorListener(cfg *Config, r *Relay) (*successorListener, error) {
	s := &successorListener{relay: r, path: hotRestartPath(cfg)}
	return s, s.open()
}

// open replaces the socket at the path, by a rename, with one of this process.
func (s *successorListener) open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if s.listener != nil {
		_ = s.listener.Close()
	}
	temporaryPath := fmt.Sprintf("%s.%d", s.path, os.Getpid())
	_ = os.Remove(temporaryPath)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Name: temporaryPath, Net: "unix"})
	if err != nil {
		return err
	}
	l.SetUnlinkOnClose(false) // by then the path may be the successor's
	if err := os.Rename(temporaryPath, s.path); err != nil {
		_ = l.Close()
		return err
	}
	s.listener = l
	return nil
}

// serve hands over to a successor, and to another one if that exits before this process. The first successor may have
// replaced the socket at the path, so serve opens it again.
func (s *successorListener) serve() {
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			return
		}
		if err := s.handOver(newProcessLink(conn)); err != nil {
			s.relay.log.Warn("hot restart: handover failed", zap.Error(err))
		}
		_ = conn.Close()
		if err := s.open(); err != nil {
			return
		}
	}
}

// close closes the socket and prevents open from opening it again.
func (s *successorListener) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed = true; s.listener != nil {
		_ = s.listener.Close()
	}
}

// handOver sends the sockets and the state, and then leaves accepting to the successor until that exits.
func (s *successorListener) handOver(l *processLink) error {
	if err := checkSameUser(l.conn); err != nil {
		return err
	}
	document, err := s.relay.exportState()
	if err != nil {
		return err
	}
	fds, release, err := s.relay.sharedDescriptors()
	defer release()
	if err != nil {
		return err
	}
	if err := sendState(l, fds, document); err != nil {
		return err
	}
	s.relay.log.Info("state handed over to successor process", zap.Int("bytes", len(document)))
	s.relay.followSuccessor(l)
	return nil
}

// exportState has the event loop export the state document.
func (r *Relay) exportState() ([]byte, error) {
	type export struct {
		document []byte
		err      error
	}
	exported := make(chan export, 1)
	go r.post(func(now time.Duration) {
		document, err := r.controller.ExportState(now)
		exported <- export{document, err}
	})
	select {
	case e := <-exported:
		return e.document, e.err
	case <-time.After(exportTimeout):
		return nil, errExportTimeout
	}
}

// sendState sends the shared sockets and the state document.
func sendState(l *processLink, fds []int, document []byte) error {
	header := binary.BigEndian.AppendUint32([]byte(handOverMagic), uint32(len(document)))
	_ = l.conn.SetWriteDeadline(time.Now().Add(exportTimeout))
	defer func() { _ = l.conn.SetWriteDeadline(time.Time{}) }() // lines that follow may take longer
	if _, _, err := l.conn.WriteMsgUnix(header, unix.UnixRights(fds...), nil); err != nil {
		return err
	}
	_, err := l.conn.Write(document)
	return err
}

// followSuccessor reads the successor's lines until the successor exits, and then accepts connections again.
func (r *Relay) followSuccessor(l *processLink) {
	r.processLinks.add(l)
	defer r.processLinks.remove(l)
	ended := make(chan struct{})
	defer close(ended)
	defer r.successorEnded(l)
	r.post(func(now time.Duration) {
		r.successorLink = l
		r.controller.SuccessorConnected(now)
	})
	for {
		line, err := l.readLine()
		if err != nil {
			return
		}
		r.handleSuccessorLine(l, line, ended)
	}
}

// handleSuccessorLine applies one line from the successor. The first that shows that the successor is about to accept
// connections, or does, stops this process from accepting any.
func (r *Relay) handleSuccessorLine(l *processLink, line string, ended <-chan struct{}) {
	message, isIDMessage := r.parseIDMessage(line)
	if (line == lineServing || message.Kind == hotrestart.ShareIDs) && !r.controller.SetReplaced(true) {
		r.setAcceptPaused(true)
		held := r.descriptorsInUse()
		l.send(descriptorsLine(held)) // before the IDs: the successor's limits are right when it begins to accept
		go r.reportToSuccessor(l, held, ended)
	}
	if isIDMessage {
		r.post(func(now time.Duration) { r.controller.HandleSuccessorMessage(now, message) })
		return
	}
	r.applySharedLine(hotrestart.Successor, line)
}

// successorEnded accepts connections again, also while this process shuts down: no other process does.
func (r *Relay) successorEnded(l *processLink) {
	_ = l.conn.Close()
	r.post(func(now time.Duration) {
		r.successorLink = nil
		r.controller.SuccessorExited(now)
	})
	select {
	case <-r.stopped: // this process has ended, not the successor
		return
	default:
	}
	if r.controller.SetReplaced(false) {
		r.log.Warn("successor process exited, accepting connections again")
		r.setAcceptPaused(false)
	}
}

// sharedDescriptors returns the descriptors of the sockets that the successor shares. They are duplicates; release closes
// them and must be called after an error too.
func (r *Relay) sharedDescriptors() (fds []int, release func(), err error) {
	var files []*os.File
	release = func() { closeFiles(files) }
	f, err := r.listener.File()
	if err != nil {
		return nil, release, err
	}
	files = append(files, f)
	if conn, ok := r.peers.packetConn().(*net.UDPConn); ok {
		if f, err := conn.File(); err == nil {
			files = append(files, f)
		}
	}
	for _, f := range files {
		raw, err := f.SyscallConn()
		if err != nil {
			return nil, release, err
		}
		// Not File.Fd, which would make the socket blocking for both processes.
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return nil, release, err
		}
	}
	return fds, release, nil
}

// descriptorsLine returns the line that reports how many descriptors this process uses.
func descriptorsLine(held int) string { return fmt.Sprintf("%s %d", lineDescriptors, held) }

// reportToSuccessor reports the descriptors and the tracked load of this process until the successor has exited. lastReported is
// the number of descriptors that the successor has been sent.
func (r *Relay) reportToSuccessor(l *processLink, lastReported int, ended <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	exported := make(chan []byte, 1)
	for {
		if n := r.descriptorsInUse(); n != lastReported && l.sendIfIdle(descriptorsLine(n)) {
			lastReported = n
		}
		go r.post(func(time.Duration) {
			load, _ := r.controller.ExportLoad()
			exported <- load
		})
		select {
		case load := <-exported:
			if len(load) > 0 {
				l.sendIfIdle(lineLoad + " " + string(load))
			}
		case <-ended:
			return
		}
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
	}
}

// descriptorsInUse returns an upper bound of the descriptors that this process uses.
func (r *Relay) descriptorsInUse() int {
	return descriptorsPerSession*int(r.sessionCount.Load()) + r.handshakes.size() + controller.ReservedDescriptors +
		int(r.auxiliaryDescriptors.Load())
}
