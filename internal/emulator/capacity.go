package emulator

import (
	"math"
	"time"
)

const (
	// alwaysWarm is the start time of a server that is warm from the beginning.
	alwaysWarm = math.MinInt64

	// minSlowdown keeps speeds finite.
	minSlowdown = 1e-3
)

// capacity holds what determines the speed of the cores: the age of the process, its slowdown and its degradation.
type capacity struct {
	started       time.Duration
	slowdown      float64 // factor by which work takes longer
	degradation   float64 // growth of the time that work takes, per second from degradedSince on, as a share of the undegraded time
	degradedSince time.Duration
	coldArrivals  []time.Duration // of requests within the last ColdCrashWindow
}

// newCapacity returns the capacity of a process that starts now.
func newCapacity(now time.Duration) capacity {
	return capacity{started: now, slowdown: 1, degradedSince: now}
}

// warmth returns the share of its capacity that the server has at a time.
func (c *capacity) warmth(cfg *Config, at time.Duration) float64 {
	if c.started == alwaysWarm || cfg.WarmUpTime <= 0 || at-c.started >= cfg.WarmUpTime {
		return 1
	}
	return cfg.ColdCapacity + (1-cfg.ColdCapacity)*float64(at-c.started)/float64(cfg.WarmUpTime)
}

// coreSpeed returns the speed of one core, relative to a nominal one.
func (c *capacity) coreSpeed(cfg *Config, at time.Duration) float64 {
	return cfg.Speed * c.warmth(cfg, at) / c.slowdown / (1 + c.degradation*(at-c.degradedSince).Seconds())
}

// varies reports whether the speed changes continuously.
func (c *capacity) varies(cfg *Config, at time.Duration) bool {
	return c.degradation > 0 || c.warmth(cfg, at) < 1
}

// overloadedCold counts a request and reports whether a cold server crashes on it.
func (c *capacity) overloadedCold(cfg *Config, now time.Duration) bool {
	warmth := c.warmth(cfg, now)
	if warmth >= 1 || cfg.WarmRequestRate <= 0 {
		return false
	}
	c.coldArrivals = append(c.coldArrivals, now)
	for now-c.coldArrivals[0] > cfg.ColdCrashWindow {
		c.coldArrivals = c.coldArrivals[1:]
	}
	return float64(len(c.coldArrivals)) > cfg.ColdCrashFactor*warmth*cfg.WarmRequestRate*cfg.ColdCrashWindow.Seconds()
}

// SetSlowdown makes all work take factor times as long; a factor of 1 ends the slowdown.
func (s *Server) SetSlowdown(now time.Duration, factor float64) {
	s.advance(now)
	s.capacity.slowdown = max(factor, minSlowdown)
}

// SetDegradation makes the time that work takes grow every second by a share of the undegraded time; 0 ends the degradation.
func (s *Server) SetDegradation(now time.Duration, sharePerSecond float64) {
	s.advance(now)
	s.capacity.degradation, s.capacity.degradedSince = sharePerSecond, now
}
