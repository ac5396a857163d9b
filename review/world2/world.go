package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// world holds what the stand-ins of one case share.
type world struct {
	root    string
	run     string
	dir     string // temporary folder
	tmpdir  string // $TMPDIR of the relays
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	relays []*relayProcess
	nextID uint64
}

func newWorld(root, run, record string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "w2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, run: run, dir: dir, tmpdir: filepath.Join(dir, "tmp"), trouble: trouble, started: time.Now(), record: bufio.NewWriter(file), file: file}
	w.nextID = uint64(w.started.UnixNano())
	w.logf("start     trouble=%v", trouble)
	return w, nil
}

// close ends all relays and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	relays := w.relays
	w.mu.Unlock()
	for _, r := range relays {
		r.kill()
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.record = nil
	w.mu.Unlock()
	_ = os.RemoveAll(w.dir)
}

// logf writes a line with the time since the start to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record == nil {
		return
	}
	line := fmt.Sprintf("%9.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
	_ = w.record.Flush()
}

// newID returns a new id or key in the protocol's form.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextID = w.nextID*6364136223846793005 + 1442695040888963407
	return fmt.Sprintf("%016x", w.nextID)
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
