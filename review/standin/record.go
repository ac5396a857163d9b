package standin

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the record of one run: one line for each thing that was sent, answered or run, with the time since the start.
type Record struct {
	Start time.Time

	mu    sync.Mutex
	lines []string
}

// NewRecord returns an empty record whose clock starts now.
func NewRecord() *Record { return &Record{Start: time.Now()} }

// Now returns the time since the start.
func (r *Record) Now() time.Duration { return time.Since(r.Start) }

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", r.Now().Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
