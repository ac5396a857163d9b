package handshake

import (
	"testing"
	"time"
)

func TestPool_EvictsOldestAfterGrace(t *testing.T) {
	pool := NewPool(2)
	first, _, _ := pool.Add(0, "first")
	pool.Add(10*time.Millisecond, "second")
	added, evicted, wait := pool.Add(20*time.Millisecond, "third")
	if added != nil || evicted != nil || wait != 10*time.Millisecond {
		t.Fatalf("within the grace: got %v, %v, %v", added, evicted, wait)
	}
	added, evicted, wait = pool.Add(30*time.Millisecond, "third")
	if added != nil || evicted != first || wait != 0 || !evicted.AwaitsAnswer() || pool.Remove(first) {
		t.Fatalf("after the grace: got %v, %v, %v", added, evicted, wait)
	}
	if added, _, _ = pool.Add(30*time.Millisecond, "third"); added == nil || added.AcceptedAt != 30*time.Millisecond || pool.Len() != 2 {
		t.Errorf("with room: got %+v, %d connections", added, pool.Len())
	}
}

func TestPool_EvictsAnsweredFirst(t *testing.T) {
	pool := NewPool(2)
	pool.Add(0, "first")
	second, _, _ := pool.Add(0, "second")
	pool.MarkAnswered(second)
	if _, evicted, wait := pool.Add(0, "third"); evicted != second || wait != 0 || evicted.AwaitsAnswer() {
		t.Errorf("got %+v, %v", evicted, wait)
	}
}

func TestPool_RemoveAll(t *testing.T) {
	pool := NewPool(3)
	for _, name := range []string{"first", "second", "third"} {
		pool.Add(0, name)
	}
	all := pool.RemoveAll()
	if len(all) != 3 || all[0].Conn != "first" || pool.Len() != 0 || pool.Remove(all[0]) {
		t.Errorf("got %d connections, %d left", len(all), pool.Len())
	}
}
