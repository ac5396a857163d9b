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

// lineSplitter splits a stream into lines and keeps an incomplete line at its end.
type lineSplitter struct{ partial []byte }

// feed calls handle with every line that data completes, including its line break.
func (l *lineSplitter) feed(data []byte, handle func(line string)) {
	l.partial = append(l.partial, data...)
	for {
		i := bytes.IndexByte(l.partial, '\n')
		if i < 0 {
			return
		}
		line := string(l.partial[:i+1])
		l.partial = l.partial[i+1:]
		handle(line)
	}
}

// pendingBytes are bytes that have not reached the other side yet.
type pendingBytes struct {
	since time.Duration
	count int
}

// checkDelivered removes n delivered bytes from the pending ones, checks how long they were held back and returns
// the rest. No delay is reported if excused is set: the receiver was not reading or the relay's process was paused.
func (c *Checker) checkDelivered(pending []pendingBytes, n int, excused bool, what string) []pendingBytes {
	for n > 0 && len(pending) > 0 {
		if delay := c.now() - pending[0].since; delay > c.limits.MaxLineDelay && !excused {
			c.reportViolation(RuleHeldLine, "%s was held back for %v", what, delay)
			excused = true // report one violation per delivery
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

// remove removes x from a list; it does not keep the order.
func remove[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			list[i] = list[len(list)-1]
			return list[:len(list)-1]
		}
	}
	return list
}
