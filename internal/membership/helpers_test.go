package membership

import (
	"os"
	"strconv"
	"time"
)

// accuracyRuns returns the number of seeds in the accuracy tests and the simulated time of each run. MEMBERSHIP_SEEDS sets
// the number of seeds and lengthens each run to an hour.
func accuracyRuns() (seeds int, duration time.Duration) {
	if n, err := strconv.Atoi(os.Getenv("MEMBERSHIP_SEEDS")); err == nil && n > 0 {
		return n, time.Hour
	}
	return 4, 5 * time.Minute
}
