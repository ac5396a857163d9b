package loadstats

import "time"

const (
	// hashSalts is how many hash functions the figures of hashing are averaged over: a single one may be even by chance.
	hashSalts = 8

	// idleShare is the part of the mean load below which a backend counts as idle.
	idleShare = 0.5

	// sampleWeight is the weight of a sample in the mean of its second.
	sampleWeight = 1.0 / float64(samplesPerSecond)
)

// Second holds the figures of one second: means of its samples, except as noted.
type Second struct {
	Imbalance
	MeanLoad         float64   `json:"mean"`         // over backends, relative to capacity
	HashingVariation float64   `json:"hashing"`      // Variation that hashing alone would give
	GreedyVariation  float64   `json:"even"`         // Variation that a greedy placement based on exact loads would give
	IdleSeconds      float64   `json:"idle_s"`       // backend-seconds below half of the mean load, in total
	HerdRatio        float64   `json:"herd"`         // largest: new connections at a backend in a HerdWindow over its fair share; 0: no share was large enough
	HerdExpected     float64   `json:"herd_part"`    // that fair share, in connections
	Loads            []float64 `json:"loads"`        // relative to capacity, by backend; a sample while it is down counts as -1
	HashingHerdRatio float64   `json:"herd_hashing"` // HerdRatio that hashing alone would give
	Arrivals         int       `json:"arrivals"`     // connections that opened, in total
}

// runSamples holds the samples of a run and of its baselines.
type runSamples struct {
	backends int
	actual   [][]float64
	greedy   [][]float64
	hashing  [hashSalts][][]float64
}

// PerSecond computes the figures for each whole second of a run of a given length.
func (r *Recorder) PerSecond(length time.Duration) []Second {
	var hashing [hashSalts]placement
	samples := runSamples{
		backends: r.backendCount(),
		actual:   r.sampleLoads(length, r.actualPlacement()),
		greedy:   r.sampleLoads(length, r.greedyPlacement()),
	}
	for salt := range hashing {
		hashing[salt] = r.hashingPlacement(uint64(salt + 1))
		samples.hashing[salt] = r.sampleLoads(length, hashing[salt])
	}
	seconds := make([]Second, len(samples.actual)/samplesPerSecond)
	for i := range seconds {
		seconds[i] = samples.second(i)
	}
	r.addArrivals(seconds)
	r.addHerds(seconds, hashing[:])
	return seconds
}

// second averages the samples of one second.
func (s *runSamples) second(index int) Second {
	out := Second{Loads: make([]float64, s.backends)}
	for i := index * samplesPerSecond; i < (index+1)*samplesPerSecond; i++ {
		s.addSample(&out, i)
	}
	return out
}

// addSample adds one sample, with its weight, to the means of its second.
func (s *runSamples) addSample(out *Second, i int) {
	imbalance, mean := measureImbalance(s.actual[i])
	out.Variation += imbalance.Variation * sampleWeight
	out.MinOverMean += imbalance.MinOverMean * sampleWeight
	out.MaxOverMean += imbalance.MaxOverMean * sampleWeight
	out.JainIndex += imbalance.JainIndex * sampleWeight
	out.MeanLoad += mean * sampleWeight
	greedy, _ := measureImbalance(s.greedy[i])
	out.GreedyVariation += greedy.Variation * sampleWeight
	for salt := range s.hashing {
		hashing, _ := measureImbalance(s.hashing[salt][i])
		out.HashingVariation += hashing.Variation * sampleWeight / hashSalts
	}
	for backend, load := range s.actual[i] {
		if load >= 0 && load < idleShare*mean {
			out.IdleSeconds += SampleInterval.Seconds()
		}
		out.Loads[backend] += load * sampleWeight
	}
}

// addArrivals counts the connections that opened in each second.
func (r *Recorder) addArrivals(seconds []Second) {
	for i := range r.connections {
		if s := int(r.connections[i].Opened / time.Second); s < len(seconds) {
			seconds[s].Arrivals++
		}
	}
}

// addHerds sets the largest herd of each second, and the largest one that hashing alone would have caused.
func (r *Recorder) addHerds(seconds []Second, hashing []placement) {
	r.visitHerds(len(seconds), r.actualPlacement(), func(s int, ratio, expected float64) {
		if ratio > seconds[s].HerdRatio {
			seconds[s].HerdRatio, seconds[s].HerdExpected = ratio, expected
		}
	})
	for _, p := range hashing {
		largest := make([]float64, len(seconds))
		r.visitHerds(len(seconds), p, func(s int, ratio, _ float64) { largest[s] = max(largest[s], ratio) })
		for s := range seconds {
			seconds[s].HashingHerdRatio += largest[s] / hashSalts
		}
	}
}
