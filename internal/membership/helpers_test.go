package membership

import (
	"os"
	"strconv"
	"time"
)

// accuracyRuns returns how many seeds the accuracy tests run, and for how long each; MEMBERSHIP_SEEDS asks for more.
func accuracyRuns() (seeds int, each time.Duration) {
	if n, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil && n > 0 {
		return n, time.Hour
	}
	return 4, 5 * time.Minute
}
