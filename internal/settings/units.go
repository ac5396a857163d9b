package settings

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

// maxDuration bounds what FromMilliseconds returns, to about eleven and a half days. It leaves room for sums and
// multiples of such durations within an int64 of nanoseconds.
const maxDuration time.Duration = 1e15

// FromMilliseconds converts a time in milliseconds, rounded to the microsecond. NaN becomes 0, and a time beyond
// maxDuration in either direction becomes that bound.
func FromMilliseconds(ms float64) time.Duration {
	nanoseconds := ms * float64(time.Millisecond)
	switch {
	case math.IsNaN(nanoseconds):
		return 0
	case nanoseconds > float64(maxDuration):
		return maxDuration
	case nanoseconds < -float64(maxDuration):
		return -maxDuration
	}
	const microsecondsPerMillisecond = float64(time.Millisecond / time.Microsecond)
	return time.Duration(math.Round(ms*microsecondsPerMillisecond)) * time.Microsecond
}

// HashName returns the FNV-1a hash by which the balancer identifies the name of a class.
func HashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, name) // a hash's Write never fails
	return hash.Sum64()
}
