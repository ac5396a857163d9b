package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// judge follows every request by the module's actions and the events it was told,
// and keeps the rules apart from the module.
type judge struct {
	t       *testing.T
	set     Settings
	now     time.Duration
	state   map[BackendID]Backend
	open    map[uint64]*tracked
	timers  []timer
	log     []string
	probing []BackendID
}

type tracked struct {
	Request
	at       BackendID
	pending  bool
	tries    int
	over     bool
	mayRan   bool
	ranAt    time.Duration
	ranBy    Backend
	began    bool
	sentAt   time.Duration
	deadline time.Duration
}

type timer struct {
	token uint64
	at    time.Duration
}

func (j *judge) note(format string, args ...any) {
	j.log = append(j.log, fmt.Sprintf("%v ", j.now)+fmt.Sprintf(format, args...))
}

func (j *judge) Send(id uint64, to BackendID, timeout time.Duration) {
	j.note("send %d %d %v", id, to, timeout)
	q, s := j.open[id], j.state[to]
	class := j.set.Classes[q.Class]
	switch {
	case q.over:
		j.t.Fatalf("request %d sent after its final answer", id)
	case q.pending:
		j.t.Fatalf("request %d has two attempts out", id)
	case s.State != StateReady:
		j.t.Fatalf("request %d sent to backend %d in state %d", id, to, s.State)
	case q.tries >= j.set.MaxAttempts:
		j.t.Fatalf("request %d: attempt %d", id, q.tries+1)
	case j.now+timeout > q.deadline:
		j.t.Fatalf("request %d: time-out past its deadline", id)
	}
	if q.mayRan && class.Idempotency != Idempotent {
		same := class.DedupScope == ScopeAll || class.DedupScope == ScopeZone && s.Zone == q.ranBy.Zone ||
			class.DedupScope == ScopeCell && s.Cell == q.ranBy.Cell
		if class.Idempotency == NonIdempotent || !same || j.now+j.set.DialTimeout-q.ranAt > class.DedupWindow { // it is sent once its connection is up
			j.t.Fatalf("request %d of class %d may act twice", id, q.Class)
		}
	}
	q.at, q.pending, q.tries, q.sentAt = to, true, q.tries+1, j.now
}

func (j *judge) final(id uint64, refused bool) {
	q := j.open[id]
	class := j.set.Classes[q.Class]
	if q.over || q.began {
		j.t.Fatalf("request %d answered twice", id)
	}
	if j.now > q.deadline+j.set.AnswerSlack {
		j.t.Fatalf("request %d answered %v late", id, j.now-q.deadline)
	}
	if refused && q.mayRan && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentWithKey && class.DedupScope != ScopeAll) {
		j.t.Fatalf("request %d of class %d refused though it may have run", id, q.Class)
	}
	q.over = true
}

func (j *judge) Reject(id uint64, _ time.Duration) { j.note("refuse %d", id); j.final(id, true) }
func (j *judge) Fail(id uint64)                    { j.note("fail %d", id); j.final(id, false) }
func (j *judge) Cancel(id uint64, n int)           { j.note("cancel %d %d", id, n) }
func (j *judge) CheckHealth(to BackendID)          { j.note("probe %d", to); j.probing = append(j.probing, to) }
func (j *judge) ReleaseHealthCheck(to BackendID)   {}
func (j *judge) Migrate(id uint64) {
	j.note("move %d", id)
	if !j.open[id].began {
		j.t.Fatalf("request %d moved before it stood", id)
	}
}
func (j *judge) SendGossip(int, []byte) {}
func (j *judge) SetTimer(token uint64, d time.Duration) {
	j.timers = append(j.timers, timer{token, j.now + d})
}
func (j *judge) WatchEndpoints(bool) { j.note("subscribe") }
func (j *judge) FetchEndpoints()     {}
func (j *judge) Log(string)          {}

// play feeds a random order of events, legal and not, and returns what was done.
func play(t *testing.T, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 7))
	s := settings()
	s.Groups, s.PassThrough, s.HealthChecks = rng.IntN(2) == 0, true, true
	s.ReportFields = []ReportField{FieldLoadShare}
	s.PollEndpoints = rng.IntN(2) == 0
	s.Tenants = []Tenant{{ConnectionQuota: 10}, {ConnectionQuota: 10}}
	j := &judge{t: t, set: s, now: sec, state: map[BackendID]Backend{}, open: map[uint64]*tracked{}}
	b := New(j.now, seed, s, j)
	list := func(kind EndpointUpdateKind, lines []Backend) {
		if kind == UpdateFull || kind == UpdateCached {
			clear(j.state)
		}
		for _, l := range lines {
			j.state[l.ID] = l
		}
		b.EndpointsUpdated(j.now, kind, lines)
	}
	line := func() Backend {
		id := rng.IntN(8) + 1
		l := Backend{ID: BackendID(id), State: BackendState(rng.IntN(3)), Zone: (id - 1) % 2, Cell: (id - 1) / 2,
			Weight: float64(rng.IntN(4))}
		if rng.IntN(3) == 0 {
			l.ReadyAt = j.now
		}
		return l
	}
	list(UpdateCached, fleet(5))
	var ids []uint64
	loads := []float64{0, 1, 500, math.NaN(), math.Inf(1), -3}
	for range 4000 {
		j.now += time.Duration(rng.IntN(5)) * ms
		for i := 0; i < len(j.timers); { // timers fall due in the first batch after their time
			if tm := j.timers[i]; tm.at <= j.now {
				j.timers = append(j.timers[:i], j.timers[i+1:]...)
				b.TimerFired(j.now, tm.token)
			} else {
				i++
			}
		}
		settle := func(id uint64, st Status) {
			q := j.open[id]
			n := q.tries - 1
			if st.MayHaveExecuted() && !q.mayRan {
				q.mayRan, q.ranAt = true, q.sentAt
				q.ranBy = Backend{Zone: int(q.at-1) % 2, Cell: int(q.at-1) / 2}
			}
			q.pending = false
			over := q.over || q.began || st == StatusOK
			q.over = over
			b.AttemptEnded(j.now, AttemptResult{ID: id, Attempt: n, Backend: q.at, Status: st, Closed: over})
		}
		for _, id := range ids { // what the wire does at a deadline
			if q := j.open[id]; q.pending && !q.began && j.now >= q.deadline {
				settle(id, StatusTimeout)
			}
		}
		id := uint64(rng.IntN(len(ids)+5) + 1)
		q := j.open[id]
		switch rng.IntN(12) {
		case 0, 1, 2, 3:
			id = uint64(len(ids) + 1)
			ids = append(ids, id)
			r := Request{ID: id, Class: rng.IntN(len(s.Classes)), Key: uint64(rng.IntN(6)), Group: uint64(rng.IntN(4)),
				Tenant: rng.IntN(4), TimeLeft: time.Duration(rng.IntN(2000)) * ms, ExpectedLoad: loads[rng.IntN(len(loads))],
				MidStream: rng.IntN(5) == 0}
			j.open[id] = &tracked{Request: r, deadline: j.now + r.TimeLeft}
			b.RequestArrived(j.now, r)
		case 4, 5, 6:
			if q != nil && q.pending && !q.began && !q.over {
				q.began = true
				b.AttemptSucceeded(j.now, AttemptResult{ID: id, Attempt: q.tries - 1, Backend: q.at})
			}
		case 7:
			if q != nil && q.pending {
				settle(id, Status(rng.IntN(int(StatusAbandoned)+1)))
			}
		case 8:
			kind := EndpointUpdateKind(rng.IntN(4))
			var lines []Backend
			seen := map[BackendID]bool{}
			for range rng.IntN(6) {
				if l := line(); !seen[l.ID] {
					seen[l.ID] = true
					lines = append(lines, l)
				}
			}
			if kind == UpdateFailed {
				b.EndpointsUpdated(j.now, kind, nil)
			} else {
				list(kind, lines)
			}
		case 9:
			b.LoadReported(j.now, id, LoadSignal(rng.IntN(4)), loads[rng.IntN(len(loads))])
		case 10:
			if q != nil && !q.over && !q.began {
				q.over = true
				b.ClientClosed(j.now, id)
			}
		case 11:
			if len(j.probing) > 0 {
				b.HealthCheckDone(j.now, HealthCheckResult{Backend: j.probing[0], Load: []float32{float32(loads[rng.IntN(len(loads))])}})
				j.probing = j.probing[1:]
			}
			b.AttemptEnded(j.now, AttemptResult{ID: uint64(rng.IntN(9)) << 40, Status: StatusError}) // nobody's
		}
	}
	slices.SortStableFunc(j.timers, func(x, y timer) int { return cmp.Compare(x.at, y.at) })
	for _, tm := range j.timers[:len(j.timers):len(j.timers)] { // the deadlines of what is still held
		if tm.token != maintenanceTimer {
			j.now = max(j.now, tm.at)
			b.TimerFired(j.now, tm.token)
		}
	}
	for _, id := range ids {
		if q := j.open[id]; !q.over && !q.began && !q.pending {
			t.Fatalf("request %d never got a final answer", id)
		}
	}
	placed := map[*backend]int{}
	for _, c := range b.requests {
		placed[c.backend]++
	}
	for _, sv := range b.endpoints.byID {
		if own := b.loads.sum(&sv.loadSums); math.IsNaN(own) || own < 0 || len(sv.openRequests) != placed[sv] {
			t.Fatalf("backend %d: T %v, %d connections of %d", sv.ID, own, len(sv.openRequests), placed[sv])
		}
	}
	return j.log
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, seed) })
	}
}

func TestIdenticalEventsGiveIdenticalActions(t *testing.T) {
	if one, two := play(t, 5), play(t, 5); !reflect.DeepEqual(one, two) {
		t.Error("the same events led to other actions")
	}
}
