package controller

import (
	"runtime/debug"
	"time"

	"go.uber.org/zap"
)

// deliver runs one event and then the events that it deferred.
func (c *Controller) deliver(now time.Duration, event func()) {
	c.now = now
	c.runGuarded(event)
	for len(c.deferred) > 0 {
		next := c.deferred[0]
		c.deferred = c.deferred[1:]
		c.runGuarded(next)
	}
}

// runGuarded runs an event and recovers from a panic in it, so that one fault does not end all sessions.
func (c *Controller) runGuarded(event func()) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("panic while handling an event", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
	}()
	event()
}
