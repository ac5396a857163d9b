package invariant

import (
	"bytes"
	"time"
)

// EndKind is how one side of a connection ended.
type EndKind int32

// The kinds of ends. Any other value counts as Closed.
const (
	Closed EndKind = 1
	Reset  EndKind = 2
)

// lineSplitter cuts a stream into lines and keeps the part of one at its end.
type lineSplitter struct{ partial []byte }

// feed calls each for every line that is whole now, with its line break.
func (l *lineSplitter) feed(data []byte, each func(line string)) {
	l.partial = append(l.partial, data...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			return
		}
		line := string(l.partial[:i+1])
		l.partial = l.partial[i+1:]
		each(line)
	}
}

// pendingBytes are bytes that the other side has not got yet.
type pendingBytes struct {
	since time.Duration
	count int
}

// checkDelivered takes n bytes that were delivered off the pending ones, checks how long they were held back and
// returns the rest. excused says that the receiver or the relay could not help a delay.
func (c *Checker) checkDelivered(pending []pendingBytes, n int, excused bool, what string) []pendingBytes {
	for n > 0 && len(pending) > 0 {
		if delay := c.now() - pending[0].since; delay > c.limits.MaxLineDelay && !excused {
			c.violated(RuleHeldLine, "%s waited for %v", what, delay)
			excused = true // one violation for one delivery
		}
		if n < pending[0].count {
			pending[0].count -= n
			return pending
		}
		n -= pending[0].count
		pending = pending[1:]
	}
	return pending
}

// remove removes x from a list without keeping its order.
func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}
