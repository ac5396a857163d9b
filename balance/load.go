package balance

import (
	"math"
	"slices"
)

// maxLoadSamples is the weight of the mean load of a class over past reports, from which on it has settled.
const maxLoadSamples = 100

// loadSums is what the tracked load T is summed up from, of one backend or of all.
type loadSums struct {
	otherProcess float64 // T of another process of this relay, while there are two
	reported     float64 // sum of the reported or expected loads
	unreported   []int   // connections without a load, by class
	connections  int
}

// add counts a request, with a count of -1 for one that ends.
func (l *loadSums) add(req *request, count int) {
	l.connections += count
	if req.load > 0 {
		l.reported += float64(count) * req.load
	} else {
		l.unreported[req.Class] += count
	}
	if l.connections == 0 { // drop rounding errors
		l.reported = 0
	}
}

// addClasses makes room for more classes.
func (l *loadSums) addClasses(count int) { l.unreported = append(l.unreported, make([]int, count)...) }

// loadTracker measures the tracked load T of the paper: the load of this relay's connections on a backend.
// The unit is a connection until a first load is reported, then microseconds of work a second.
type loadTracker struct {
	total        loadSums  // of all backends
	classLoads   []float64 // mean load of a connection by class; last: of all classes
	classSamples []float64 // number of reports behind classLoads, up to maxLoadSamples
}

func newLoadTracker() loadTracker {
	return loadTracker{classLoads: []float64{1}, classSamples: []float64{0}}
}

// missingClasses is how many classes there are beyond those known.
func (t *loadTracker) missingClasses(classes int) int { return max(0, classes-t.allClasses()) }

// addClasses makes room for more classes; the mean of all classes stays last.
func (t *loadTracker) addClasses(count int) {
	last := t.allClasses()
	t.classLoads = slices.Insert(t.classLoads, last, make([]float64, count)...)
	t.classSamples = slices.Insert(t.classSamples, last, make([]float64, count)...)
	t.total.addClasses(count)
}

// allClasses is the index of the mean of all classes.
func (t *loadTracker) allClasses() int { return len(t.classLoads) - 1 }

// sum is the tracked load T.
func (t *loadTracker) sum(sums *loadSums) float64 {
	load := sums.reported + sums.otherProcess
	for class, count := range sums.unreported {
		if count > 0 {
			load += float64(count) * t.ofClass(class)
		}
	}
	return load
}

// of is what one request adds to the tracked load.
func (t *loadTracker) of(req *request) float64 {
	if req.load > 0 {
		return req.load
	}
	return t.ofClass(req.Class)
}

// ofClass is the usual load of a connection of a class: the mean of its reports, else of all, else 1.
func (t *loadTracker) ofClass(class int) float64 {
	if t.classSamples[class] == 0 {
		class = t.allClasses()
	}
	return t.classLoads[class]
}

// meanConnection is the mean load of this relay's connections.
func (t *loadTracker) meanConnection() float64 {
	if t.total.connections == 0 {
		return t.ofClass(0)
	}
	return t.sum(&t.total) / float64(t.total.connections)
}

// hasSettled reports whether the mean load of a class no longer changes much.
func (t *loadTracker) hasSettled(class int) bool { return t.classSamples[class] >= maxLoadSamples }

// learn takes a reported load into the means of its class and of all classes.
func (t *loadTracker) learn(class int, load float64) {
	for _, i := range [2]int{class, t.allClasses()} {
		t.classSamples[i] = min(t.classSamples[i]+1, maxLoadSamples)
		t.classLoads[i] += (load - t.classLoads[i]) / t.classSamples[i]
	}
}

// addClasses makes room for classes that the settings have added.
func (b *Balancer) addClasses(classes int) {
	missing := b.loads.missingClasses(classes)
	if missing == 0 {
		return
	}
	b.loads.addClasses(missing)
	for _, s := range b.endpoints.byID {
		s.addClasses(missing)
	}
}

// recordConnectionLoad records the present load of a connection, and with it what connections of its class
// usually load.
func (b *Balancer) recordConnectionLoad(req *request, load float64) {
	if req.load > 0 { // a change of its own load, and so of T
		b.setLoad(req, load)
	}
	learn := func() {
		if req.load != load {
			b.setLoad(req, load)
		}
		b.loads.learn(req.Class, load)
	}
	if b.loads.hasSettled(req.Class) {
		learn()
		return
	}
	b.rescaleLimits(learn)
}

// setLoad sets the load of a request.
func (b *Balancer) setLoad(req *request, load float64) {
	target := req.backend
	b.detach(req)
	req.load = load
	b.attach(req, target)
}

// rescaleLimits makes a change to the unit of T, and has the limits follow it. The first loads reported
// change T by orders of magnitude though nothing has come or gone: limits in the old unit would relieve
// all backends at once.
func (b *Balancer) rescaleLimits(change func()) {
	watched := b.concurrency.watched
	before := make([]float64, len(watched))
	for i, s := range watched {
		before[i] = b.loads.sum(&s.loadSums)
	}
	change()
	for i, load := range before {
		if s := watched[i]; load > 0 {
			s.concurrency.rescale(b.loads.sum(&s.loadSums) / load)
		}
	}
}

// positiveFinite returns the value if it is a positive finite number, else 0.
func positiveFinite(v float64) float64 {
	if v > 0 && !math.IsInf(v, 0) {
		return v
	}
	return 0
}
