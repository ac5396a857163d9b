package balance

import (
	"math"
	"slices"
)

// maxLoadSamples is the weight of past reports in the mean load of a class, in samples. A mean of that many
// samples counts as settled.
const maxLoadSamples = 100

// loadSums holds the parts of the tracked load T of one backend or of all.
type loadSums struct {
	predecessorLoad float64 // T of the relay's predecessor process while both run
	reported        float64 // sum of the reported or expected loads
	unreported      []int   // number of connections without a reported or expected load, by class
	connections     int
}

// add adds a request, or removes it if the count is -1.
func (l *loadSums) add(req *request, count int) {
	l.connections += count
	if req.load > 0 {
		l.reported += float64(count) * req.load
	} else {
		l.unreported[req.Class] += count
	}
	if l.connections == 0 { // remove accumulated rounding errors
		l.reported = 0
	}
}

// addClasses appends counts for more classes.
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

// missingClasses returns by how many the given number of classes exceeds the number tracked.
func (t *loadTracker) missingClasses(classes int) int { return max(0, classes-t.allClassesIndex()) }

// addClasses adds entries for more classes; the mean of all classes stays last.
func (t *loadTracker) addClasses(count int) {
	last := t.allClassesIndex()
	t.classLoads = slices.Insert(t.classLoads, last, make([]float64, count)...)
	t.classSamples = slices.Insert(t.classSamples, last, make([]float64, count)...)
	t.total.addClasses(count)
}

// allClassesIndex returns the index of the mean of all classes.
func (t *loadTracker) allClassesIndex() int { return len(t.classLoads) - 1 }

// trackedLoad returns the tracked load T of a backend or of all backends.
func (t *loadTracker) trackedLoad(sums *loadSums) float64 {
	load := sums.reported + sums.predecessorLoad
	for class, count := range sums.unreported {
		if count > 0 {
			load += float64(count) * t.classLoad(class)
		}
	}
	return load
}

// requestLoad returns the load that one request adds to the tracked load.
func (t *loadTracker) requestLoad(req *request) float64 {
	if req.load > 0 {
		return req.load
	}
	return t.classLoad(req.Class)
}

// classLoad returns the mean reported load of a class's connections. Without a report it is the mean of all classes,
// and 1 if no class has a report.
func (t *loadTracker) classLoad(class int) float64 {
	if t.classSamples[class] == 0 {
		class = t.allClassesIndex()
	}
	return t.classLoads[class]
}

// meanConnection returns the mean load of this relay's connections.
func (t *loadTracker) meanConnection() float64 {
	if t.total.connections == 0 {
		return t.classLoad(0)
	}
	return t.trackedLoad(&t.total) / float64(t.total.connections)
}

// hasSettled reports whether the mean load of a class no longer changes much.
func (t *loadTracker) hasSettled(class int) bool { return t.classSamples[class] >= maxLoadSamples }

// addSample adds a reported load to the means of its class and of all classes.
func (t *loadTracker) addSample(class int, load float64) {
	for _, i := range [2]int{class, t.allClassesIndex()} {
		t.classSamples[i] = min(t.classSamples[i]+1, maxLoadSamples)
		t.classLoads[i] += (load - t.classLoads[i]) / t.classSamples[i]
	}
}

// addClasses adds the classes that are new in the settings to the tracked loads.
func (b *Balancer) addClasses(classes int) {
	missing := b.loads.missingClasses(classes)
	if missing == 0 {
		return
	}
	b.loads.addClasses(missing)
	for _, target := range b.endpoints.byID {
		target.addClasses(missing)
	}
}

// recordConnectionLoad records the present load of a connection, and adds it to the mean load of its class.
func (b *Balancer) recordConnectionLoad(req *request, load float64) {
	if req.load > 0 { // the connection's load has changed, so T changes and the limits stay
		b.setLoad(req, load)
	}
	record := func() {
		if req.load != load {
			b.setLoad(req, load)
		}
		b.loads.addSample(req.Class, load)
	}
	if b.loads.hasSettled(req.Class) {
		record()
		return
	}
	b.rescaleLimits(record)
}

// setLoad sets the load of a request.
func (b *Balancer) setLoad(req *request, load float64) {
	target := req.backend
	b.detach(req)
	req.load = load
	b.attach(req, target)
}

// rescaleLimits applies a change to the unit of T and converts the limits to the new unit. The first reported
// loads change T by orders of magnitude with the same connections: limits in the old unit would migrate
// connections off all backends at once.
func (b *Balancer) rescaleLimits(change func()) {
	maintained := b.concurrency.maintained
	before := make([]float64, len(maintained))
	for i, target := range maintained {
		before[i] = b.loads.trackedLoad(&target.loadSums)
	}
	change()
	for i, load := range before {
		if target := maintained[i]; load > 0 {
			target.concurrency.rescale(b.loads.trackedLoad(&target.loadSums) / load)
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
