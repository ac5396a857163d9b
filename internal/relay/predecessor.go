package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenbarrow/internal/hotrestart"
)

// fileDescriptorBytes is the size of a descriptor in a control message.
const fileDescriptorBytes = 4

// predecessor is the process that this one takes over from, and what it has handed over.
type predecessor struct {
	*processLink
	listener      *net.TCPListener
	peerConn      net.PacketConn // nil: no datagrams
	stateDocument []byte
	exited        chan struct{} // closed when the process has exited
}

// alive reports whether the predecessor still runs; false for nil.
func (p *predecessor) alive() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// connectPredecessor takes over from a running process of this relay; nil: there is none, or the hand-over failed.
func connectPredecessor(cfg *Config, log *zap.Logger) *predecessor {
	if cfg.AdminListen == "" || cfg.RuntimeDir == "" {
		return nil
	}
	conn, err := net.DialTimeout("unix", hotRestartPath(cfg), predecessorDialTimeout)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) && !errors.Is(err, unix.ECONNREFUSED) { // no process, or one that was killed
			log.Warn("hot restart: takeover failed", zap.Error(err))
		}
		return nil
	}
	p, err := receiveHandOver(newProcessLink(conn.(*net.UnixConn)), cfg)
	if err != nil {
		_ = conn.Close()
		log.Warn("hot restart: takeover failed", zap.Error(err))
		return nil
	}
	return p
}

// receiveHandOver reads the sockets and the state document.
func receiveHandOver(l *processLink, cfg *Config) (*predecessor, error) {
	if err := checkSameUser(l.conn); err != nil {
		return nil, err
	}
	_ = l.conn.SetDeadline(time.Now().Add(handOverTimeout))
	files, size, err := receiveHeader(l.conn)
	defer closeFiles(files)
	if err != nil {
		return nil, err
	}
	p := &predecessor{processLink: l, stateDocument: make([]byte, size), exited: make(chan struct{})}
	if _, err := io.ReadFull(l.conn, p.stateDocument); err != nil {
		return nil, fmt.Errorf("%w: %w", errIncompleteMessage, err)
	}
	_ = l.conn.SetDeadline(time.Time{})
	if p.listener, err = listenerFrom(files[0], cfg.Listen); err != nil {
		return nil, err
	}
	if len(files) > 1 && cfg.PeerListen != "" {
		p.peerConn = packetConnFrom(files[1], cfg.PeerListen)
	}
	return p, nil
}

// receiveHeader reads the descriptors and the length of the state document. The caller closes the files, also those
// that come with an error.
func receiveHeader(conn *net.UnixConn) (files []*os.File, size uint32, err error) {
	header := make([]byte, len(handOverMagic)+handOverSizeBytes)
	control := make([]byte, unix.CmsgSpace(maxHandOverFiles*fileDescriptorBytes))
	n, controlLength, _, _, err := conn.ReadMsgUnix(header, control)
	if err == nil && n < len(header) {
		_, err = io.ReadFull(conn, header[n:])
	}
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errIncompleteMessage, err)
	}
	if files, err = receivedFiles(control[:controlLength]); err != nil {
		return files, 0, err
	}
	magic := header[:len(handOverMagic)]
	size = binary.BigEndian.Uint32(header[len(handOverMagic):])
	if string(magic) != handOverMagic || size > hotrestart.MaxDocumentBytes || len(files) == 0 {
		return files, 0, fmt.Errorf("%w: got %q, a state document of %d bytes and %d sockets; expected %q, at most %d bytes and a socket",
			errUnknownFormat, magic, size, len(files), handOverMagic, hotrestart.MaxDocumentBytes)
	}
	return files, size, nil
}

// receivedFiles returns the files of a control message; after an error, those that precede it.
func receivedFiles(control []byte) (files []*os.File, err error) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return nil, err
	}
	for _, message := range messages {
		fds, err := unix.ParseUnixRights(&message)
		if err != nil {
			return files, err
		}
		for _, fd := range fds {
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files, nil
}

// closeFiles closes duplicates of sockets. Errors are ignored: nothing is written to the duplicates.
func closeFiles(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// listenerFrom returns the listener of a descriptor if it has the configured address.
func listenerFrom(f *os.File, address string) (*net.TCPListener, error) {
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("listening socket: %w", err)
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok || !sameAddress(l.Addr().String(), address) {
		_ = l.Close()
		return nil, fmt.Errorf("%w: %v, configured is %s", errDifferentAddress, l.Addr(), address)
	}
	return tcp, nil
}

// packetConnFrom returns the peers' socket of a descriptor; nil if it does not have the configured address.
func packetConnFrom(f *os.File, address string) net.PacketConn {
	conn, err := net.FilePacketConn(f)
	if err != nil {
		return nil
	}
	if !sameAddress(conn.LocalAddr().String(), address) {
		_ = conn.Close()
		return nil
	}
	return conn
}

// sameAddress reports whether a socket's address is the configured one, whose port may be 0 (any port).
func sameAddress(actual, configured string) bool {
	configuredHost, configuredPort, err := net.SplitHostPort(configured)
	if err != nil {
		return false
	}
	host, port, err := net.SplitHostPort(actual)
	if err != nil {
		return false
	}
	return host == configuredHost && (configuredPort == "0" || port == configuredPort)
}

// restoreFrom restores the predecessor's state and takes over its peers' socket.
func (r *Relay) restoreFrom(p *predecessor) {
	if err := r.controller.RestoreState(r.now(), p.stateDocument); err != nil {
		r.log.Warn("hot restart: takeover failed", zap.Error(err))
	}
	if p.peerConn == nil {
		return
	}
	if r.peers.listenAddress == "" {
		_ = p.peerConn.Close()
		return
	}
	r.peers.conn = p.peerConn
}

// awaitReadiness waits until this process has an endpoint list, or the predecessor has exited; false: ctx is done first.
func (r *Relay) awaitReadiness(ctx context.Context, p *predecessor) bool {
	select {
	case <-r.endpointsReceived:
	case <-p.exited:
	case <-ctx.Done():
		return false
	}
	return true
}

// awaitRequestIDs waits until the predecessor has sent the IDs of its open requests, so that none of them is served a second
// time; false: ctx is done first. A predecessor that does not answer in time, and one of an earlier version, is not waited for.
func (r *Relay) awaitRequestIDs(ctx context.Context, p *predecessor) bool {
	if !r.controller.PredecessorSharesIDs() || !p.alive() {
		return true
	}
	p.send(hotrestart.IDMessage{Kind: hotrestart.ShareIDs}.Encode())
	timeout := time.NewTimer(idsTimeout)
	defer timeout.Stop()
	select {
	case <-r.requestIDsReceived:
	case <-p.exited:
	case <-timeout.C:
		r.log.Warn("hot restart: predecessor has not sent its request IDs, serving without them", zap.Duration("within", idsTimeout))
	case <-ctx.Done():
		return false
	}
	return true
}

// parseIDMessage parses a line if it is a message about request IDs. A malformed one is logged.
func (r *Relay) parseIDMessage(line string) (message hotrestart.IDMessage, ok bool) {
	if !strings.HasPrefix(line, hotrestart.IDMessagePrefix) {
		return hotrestart.IDMessage{}, false
	}
	message, err := hotrestart.ParseIDMessage(line)
	if err != nil {
		r.logMalformedMessage(err)
	}
	return message, err == nil
}

// followPredecessor reads the predecessor's reports until the predecessor exits.
func (r *Relay) followPredecessor(p *predecessor) {
	r.processLinks.add(p.processLink)
	defer r.processLinks.remove(p.processLink)
	defer close(p.exited)
	for {
		line, err := p.readLine()
		if err != nil {
			_ = p.conn.Close()
			r.log.Info("predecessor process exited")
			r.post(r.controller.PredecessorExited)
			return
		}
		r.handleReport(line)
	}
}

// handleReport applies one line from the predecessor.
func (r *Relay) handleReport(line string) {
	switch keyword, rest, _ := strings.Cut(line, " "); keyword {
	case lineDescriptors:
		if n, err := strconv.Atoi(rest); err == nil {
			r.post(func(now time.Duration) { r.controller.SetOtherProcessDescriptors(now, n) })
		}
	case lineLoad:
		r.post(func(now time.Duration) {
			if err := r.controller.ImportLoad(now, []byte(rest)); err != nil {
				r.log.Warn("load report of predecessor process is malformed", zap.Error(err))
			}
		})
	default:
		if message, ok := r.parseIDMessage(line); ok {
			r.post(func(now time.Duration) { r.controller.HandlePredecessorMessage(now, message) })
			return
		}
		r.applySharedLine(hotrestart.Predecessor, line)
	}
}
