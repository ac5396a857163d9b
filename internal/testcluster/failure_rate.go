package testcluster

import (
	"time"
)

// failureRate counts a backend's failures per second. It reports the count of the last complete second.
type failureRate struct {
	second            time.Duration
	current, previous float64
}

// advance starts a new count if the given time is in another second than the current count.
func (rate *failureRate) advance(at time.Duration) {
	switch second := at.Truncate(time.Second); second {
	case rate.second:
		return
	case rate.second + time.Second:
		rate.second, rate.previous, rate.current = second, rate.current, 0
	default:
		rate.second, rate.previous, rate.current = second, 0, 0
	}
}

// add counts a failure.
func (rate *failureRate) add(at time.Duration) {
	rate.advance(at)
	rate.current++
}

// rate returns the number of failures in the last complete second.
func (rate *failureRate) rate(at time.Duration) float64 {
	rate.advance(at)
	return rate.previous
}
