package balance

import "time"

// backend is what this relay knows of one backend, grouped by concern.
type backend struct {
	Backend
	loadSums
	rendezvousSlot
	stateSince       time.Duration  // when this relay learned of its present state
	groupConnections map[uint64]int // number of connections by hash key
	openRequests     []*request     // pending and open ones, in no meaningful order

	backup      *backend // B of the paper: the backup while this one is the primary; nil: none
	isBackup    bool     // F of the paper: it is the backup of another
	ejection    ejection
	latency     latencyBaseline
	concurrency concurrencyLimit
	health      backendHealth
	slowStart   slowStartTokens
}
