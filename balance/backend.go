package balance

import "time"

// backend is this relay's state of one backend, grouped by concern.
type backend struct {
	Backend
	loadSums
	rendezvousSlot
	stateSince       time.Duration  // when this relay received the present state
	groupConnections map[uint64]int // number of connections by hash key
	openRequests     []*request     // with a pending attempt or an open connection, in no particular order

	backup      *backend // B of the paper: the backup while this one is the primary; nil: none
	isBackup    bool     // F of the paper: this one is the backup of another backend
	ejection    ejection
	latency     latencyBaseline
	concurrency concurrencyLimit
	health      backendHealth
	slowStart   slowStartTokens
}
