package simulation

import "time"

// event is an action to run at a time. The sequence number orders events of the same time.
type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// heapArity is the number of children of a node. A wide heap is shallow, which suits a queue from which every
// pushed event is popped.
const heapArity = 4

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q *eventQueue) push(e event) {
	events := append(*q, e)
	i := len(events) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !events[i].before(&events[parent]) {
			break
		}
		events[i], events[parent] = events[parent], events[i]
		i = parent
	}
	*q = events
}

func (q *eventQueue) pop() event {
	events := *q
	first := events[0]
	last := len(events) - 1
	events[0] = events[last]
	events[last].action = nil // lets the garbage collector free the closure
	events = events[:last]
	events.siftDown()
	*q = events
	return first
}

// siftDown restores the heap after its root was replaced.
func (q eventQueue) siftDown() {
	for i := 0; ; {
		earliest := i
		for child := heapArity*i + 1; child <= heapArity*(i+1) && child < len(q); child++ {
			if q[child].before(&q[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		q[i], q[earliest] = q[earliest], q[i]
		i = earliest
	}
}
