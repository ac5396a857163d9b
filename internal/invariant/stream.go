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
	since      time.Duration // when the end of their line arrived, or, if it has not, the bytes themselves
	count      int
	unfinished bool // the end of their line has not arrived
}

// appendPending adds bytes that have arrived now. Bytes of an unfinished line are pending from the time at which the end of
// the line arrives, since a relay forwards whole lines.
func appendPending(pending []pendingBytes, now time.Duration, data []byte) []pendingBytes {
	whole := bytes.LastIndexByte(data, '\n') + 1
	if whole > 0 {
		for i := len(pending) - 1; i >= 0 && pending[i].unfinished; i-- {
			pending[i].since, pending[i].unfinished = now, false
		}
		pending = append(pending, pendingBytes{since: now, count: whole})
	}
	if rest := len(data) - whole; rest > 0 {
		pending = append(pending, pendingBytes{since: now, count: rest, unfinished: true})
	}
	return pending
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
