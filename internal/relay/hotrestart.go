package relay

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"aspenbarrow/internal/hotrestart"
)

// A process hands its listening sockets and its state to its successor over a Unix socket in RuntimeDir. First comes
// one message with the sockets' descriptors, handOverMagic, the length of the state document as four bytes in network
// order, and the document; then lines in both directions until one process ends. Processes of different versions
// exchange all of this, so it must not change.
const (
	handOverMagic     = "abO1" // the format of the first message
	handOverSizeBytes = 4      // of the length after handOverMagic
	maxHandOverFiles  = 2      // the listener and the peers' socket

	lineServing     = "SERVING" // successor to predecessor: the successor accepts connections from now on
	lineDescriptors = "HELD"    // predecessor to successor: the number of descriptors the predecessor still uses
	lineLoad        = "SEEN"    // predecessor to successor: the tracked load of its remaining sessions
	lineDrain       = "DRAIN"   // both ways: a drain was requested at the admin endpoint
	lineUndrain     = "UNDRAIN" // both ways: the end of the drain was requested
	// Messages about request IDs and about endpoints, both ways, begin with hotrestart.IDMessagePrefix and
	// hotrestart.EndpointMessagePrefix.
)

const (
	// handOverTimeout bounds the whole hand-over once the processes are connected; after it the successor starts without a
	// predecessor.
	handOverTimeout = time.Second

	// idsTimeout bounds how long a successor waits for the IDs of the predecessor's open requests before it accepts connections.
	idsTimeout = handOverTimeout / 2

	// predecessorDialTimeout bounds connecting to the predecessor, before handOverTimeout starts: most of the time is for
	// receiving the state.
	predecessorDialTimeout = handOverTimeout / 4

	// exportTimeout bounds how long the event loop takes to export the state, and separately how long sending the state takes.
	exportTimeout = handOverTimeout / 2

	// reportInterval is how often the predecessor reports its descriptors and its tracked load.
	reportInterval = 100 * time.Millisecond
)

// Errors that end a hand-over. A successor that has not received the whole state starts without a predecessor.
var (
	errDifferentUser     = errors.New("the other process runs as another user")
	errUnknownFormat     = errors.New("the predecessor's hand-over message has an unknown format")
	errDifferentAddress  = errors.New("the predecessor listens at another address")
	errIncompleteMessage = errors.New("the predecessor's hand-over message is incomplete")
	errExportTimeout     = fmt.Errorf("the event loop has not exported the state within %v", exportTimeout)
	errLineTooLong       = errors.New("hot restart line too long")
)

// listenShared returns a configuration for a socket that another process of this relay may open as well.
func listenShared(log *zap.Logger) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionError error
		err := conn.Control(func(fd uintptr) {
			optionError = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		if err != nil {
			optionError = err
		}
		if optionError != nil {
			log.Warn("setting SO_REUSEPORT failed", zap.Error(optionError))
		}
		return nil
	}}
}

// applySharedLine applies a line that either process sends: a drain, or the end of one, that was requested at the other
// process's admin endpoint, or what discovery has told the other process.
func (r *Relay) applySharedLine(from hotrestart.Process, line string) {
	switch {
	case line == lineDrain || line == lineUndrain:
		r.setDrained(line == lineDrain)
	case strings.HasPrefix(line, hotrestart.EndpointMessagePrefix):
		message, err := hotrestart.ParseEndpointMessage(line)
		if err != nil {
			r.logMalformedMessage(err)
			return
		}
		r.post(func(now time.Duration) { r.controller.HandleEndpointMessage(now, from, message) })
	}
}

// logMalformedMessage logs a message of another process that cannot be parsed.
func (r *Relay) logMalformedMessage(err error) {
	r.log.Warn("message of other process is malformed", zap.Error(err))
}

// hotRestartPath returns the path of the socket at which a predecessor waits for its successor.
func hotRestartPath(cfg *Config) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, cfg.Listen+" "+cfg.Name)
	return filepath.Join(cfg.RuntimeDir, fmt.Sprintf("aspenbarrow-%08x.sock", h.Sum32()))
}

// checkSameUser returns errDifferentUser if the other process runs as another user.
func checkSameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var peer *unix.Ucred
	controlError := raw.Control(func(fd uintptr) {
		peer, err = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if controlError != nil {
		return controlError
	}
	if err != nil {
		return err
	}
	if int(peer.Uid) != os.Getuid() {
		return fmt.Errorf("%w: uid %d", errDifferentUser, peer.Uid)
	}
	return nil
}
