package emulator

import "time"

// Config describes a server.
type Config struct {
	Cores       float64 // number of cores; one request uses at most one
	Speed       float64 // of a core, relative to a nominal one
	MaxRequests int     // requests in flight at once; more are rejected
	Backlog     int     // requests that the operating system queues while the process is paused
	GroupLoad   float64 // cores used by each group that has a connection here

	ColdCapacity    float64       // share of its capacity that the server starts with, 0 to 1
	WarmUpTime      time.Duration // time from the start until it has its full capacity; the share rises linearly
	WarmRequestRate float64       // requests per second that it can serve when warm; 0: a cold server never crashes
	ColdCrashFactor float64       // a cold server crashes on more than this many times the requests that it can serve
	ColdCrashWindow time.Duration // period over which these requests are counted

	LeakLimit float64 // leaked memory at which the server crashes, in connection-seconds; 0: connections don't leak

	ReportInterval time.Duration // shortest time between two load reports
	ReportQuantum  float64       // load reports are rounded to multiples of this; 0: no rounding
	ReportNoise    float64       // standard deviation of load reports, relative to the load
	ReportDelay    time.Duration // age of a load report when it is delivered
}
