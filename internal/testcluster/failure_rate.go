package testcluster

import (
	"time"
)

// failureRate counts the errors of a backend by the second; what it reports is that of the last whole one.
type failureRate struct {
	second            time.Duration
	current, previous float64
}

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

func (rate *failureRate) add(at time.Duration) {
	rate.advance(at)
	rate.current++
}

func (rate *failureRate) rate(at time.Duration) float64 {
	rate.advance(at)
	return rate.previous
}
