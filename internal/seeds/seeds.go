// Package seeds runs batches of worlds (package world), one for each seed, on several
// workers and sums them up: rules broken, how often each kind of fault and each pair
// of overlapping faults came up, and how one batch differs from an earlier one.
//
// A batch's results are the same for any number of workers; only Batch.Took differs.
package seeds

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"aspenbarrow/internal/world"
)

// Batch is what a batch of seeds came to.
type Batch struct {
	From    uint64         `json:"from"`      // the first seed
	Count   int            `json:"count"`     // how many, one after the other
	Length  time.Duration  `json:"length_ns"` // virtual, of a run
	Failing int            `json:"failing"`   // seeds that broke a rule
	Counts  map[string]int `json:"counts"`    // how often what came up in all
	Pairs   map[string]int `json:"pairs"`     // how often two faults overlapped
	Seeds   []Seed         `json:"seeds"`     // by seed
	Took    time.Duration  `json:"-"`         // by the wall clock
}

// Seed is one of them, without what the batch adds up.
type Seed struct {
	Seed     uint64           `json:"seed"`
	Worth    float64          `json:"worth"`            // as of world.Result
	Answers  int              `json:"answers"`          // final answers, of which
	Refused  int              `json:"refused"`          // BUSY
	Failed   int              `json:"failed"`           // ERR
	Attempts int              `json:"attempts"`         // at backends
	Steps    int              `json:"steps"`            // events of the run
	Broken   []string         `json:"broken,omitempty"` // rules
	Classes  map[string]Class `json:"classes"`          // by name
}

// Class is what became of the requests of one class.
type Class struct {
	Asked, Served, OnTime, Attempts int
}

var classNames = []string{"watch", "fetch", "submit"}

// Play plays seeds from one on with so many workers, as the options say beside the
// seed; told hears of each as it ends.
func Play(from uint64, count, workers int, opt world.Options, told func(done int, s Seed)) Batch {
	began := time.Now()
	if opt.Length == 0 {
		opt.Length = time.Minute
	}
	b := Batch{From: from, Count: count, Length: opt.Length, Counts: map[string]int{}, Pairs: map[string]int{},
		Seeds: make([]Seed, count)}
	var next atomic.Int64
	var mu sync.Mutex
	var wg sync.WaitGroup
	done := 0
	for range max(1, workers) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(count); i = next.Add(1) - 1 {
				one := opt
				one.Seed = from + uint64(i)
				res := world.Run(one)
				s := Seed{Seed: res.Seed, Worth: res.Worth, Answers: res.Asked, Refused: res.Refused, Failed: res.Failed,
					Attempts: res.Attempts, Steps: res.Steps, Classes: map[string]Class{}}
				for _, c := range classNames {
					s.Classes[c] = Class{res.Counts["request "+c], res.Counts["served "+c], res.Counts["on time "+c],
						res.Counts["attempt "+c]}
				}
				for _, f := range res.Broken {
					s.Broken = append(s.Broken, f.String())
				}
				mu.Lock()
				b.Seeds[i] = s
				add(b.Counts, res.Counts)
				add(b.Pairs, res.Pairs)
				if len(s.Broken) > 0 {
					b.Failing++
				}
				done++
				if told != nil {
					told(done, s)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.Took = time.Since(began)
	return b
}

func add(to, from map[string]int) {
	for k, n := range from {
		to[k] += n
	}
}

// Missing names what a batch has never brought about, though it should: a kind of
// fault, a final answer, a drain that met a send, a cold backend with traffic.
func (b *Batch) Missing() []string {
	var missing []string
	for _, k := range world.Kinds() {
		if b.Counts["fault "+k] == 0 {
			missing = append(missing, "fault "+k)
		}
	}
	for _, k := range []string{"answer UP", "answer BUSY", "answer ERR", "answer BYE", "moved", "repeated attempt",
		"drain met an attempt in flight", "sent to a cold backend", "datagram lost", "relay left", "reload", "bad client"} {
		if b.Counts[k] == 0 {
			missing = append(missing, k)
		}
	}
	return missing
}

// Report writes how often everything came up.
func (b *Batch) Report(out io.Writer) {
	kinds := world.Kinds()
	all := len(kinds) * (len(kinds) + 1) / 2
	fmt.Fprintf(out, "pairs of faults that overlapped: %d of %d\n", len(b.Pairs), all)
	for _, k := range slices.Sorted(maps.Keys(b.Counts)) {
		fmt.Fprintf(out, "%10d  %s\n", b.Counts[k], k)
	}
	for _, s := range b.Seeds {
		for i, f := range s.Broken {
			if i < 3 {
				fmt.Fprintf(out, "seed %d: %s\n", s.Seed, f)
			}
		}
	}
}

// Closing is the one line that a batch ends with.
func (b *Batch) Closing() string {
	answers, steps := 0, 0
	for _, s := range b.Seeds {
		answers += s.Answers
		steps += s.Steps
	}
	return fmt.Sprintf("%d seeds, %d failed, %d answers, %d million steps, %.1f s, %.0f seeds a second",
		b.Count, b.Failing, answers, steps/1e6, b.Took.Seconds(), float64(b.Count)/b.Took.Seconds())
}

// Write writes the batch to a file as JSON, for Read and Compare.
func (b *Batch) Write(path string) error {
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Read reads a file that Write wrote.
func Read(path string) (b Batch, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &b)
	}
	if err != nil {
		return b, fmt.Errorf("%s: %w", path, err)
	}
	return b, nil
}

// Difference is one measure of two batches, seed by seed.
type Difference struct {
	What        string  // the measure
	Was, Is     float64 // means
	Mean, Bound float64 // of the differences, and half of the 95% confidence interval
}

// Compare compares a batch with an earlier one on the seeds that both have. It is an error if their runs are not of
// one length or if they have fewer than two seeds in common.
func Compare(was, is Batch) ([]Difference, error) {
	if was.Length != is.Length {
		return nil, fmt.Errorf("runs of %v against runs of %v", was.Length, is.Length)
	}
	before := map[uint64]Seed{}
	for _, s := range was.Seeds {
		before[s.Seed] = s
	}
	measures := []struct {
		name string
		of   func(s Seed) float64
	}{
		{"worth served", func(s Seed) float64 { return s.Worth }},
		{"share refused", func(s Seed) float64 { return float64(s.Refused) / float64(max(1, s.Answers)) }},
		{"share failed", func(s Seed) float64 { return float64(s.Failed) / float64(max(1, s.Answers)) }},
		{"attempts an answer", func(s Seed) float64 { return float64(s.Attempts) / float64(max(1, s.Answers)) }},
	}
	for _, name := range classNames {
		share := func(part func(c Class) int) func(s Seed) float64 {
			return func(s Seed) float64 {
				c := s.Classes[name]
				return float64(part(c)) / float64(max(1, c.Asked))
			}
		}
		measures = append(measures, []struct {
			name string
			of   func(s Seed) float64
		}{{name + " served", share(func(c Class) int { return c.Served })}, {name + " on time", share(func(c Class) int { return c.OnTime })},
			{name + " attempts", share(func(c Class) int { return c.Attempts })}}...)
	}
	out := make([]Difference, len(measures))
	for i, m := range measures {
		out[i].What = m.name
		n, sum, squares := 0.0, 0.0, 0.0
		for _, s := range is.Seeds {
			old, ok := before[s.Seed]
			if !ok {
				continue
			}
			d := m.of(s) - m.of(old)
			n, sum, squares = n+1, sum+d, squares+d*d
			out[i].Was += m.of(old)
			out[i].Is += m.of(s)
		}
		if n < 2 {
			return nil, fmt.Errorf("only %.0f seeds are in both", n)
		}
		out[i].Was, out[i].Is, out[i].Mean = out[i].Was/n, out[i].Is/n, sum/n
		variance := max(0, (squares-sum*sum/n)/(n-1))
		out[i].Bound = 1.96 * math.Sqrt(variance/n)
	}
	return out, nil
}

func (d Difference) String() string {
	return fmt.Sprintf("%-20s %10.4f -> %10.4f  %+.4f ± %.4f", d.What, d.Was, d.Is, d.Mean, d.Bound)
}

// Script formats a script of faults, one to a line.
func Script(script []world.Fault) string {
	var b strings.Builder
	for _, f := range script {
		fmt.Fprintf(&b, "%9.3f s for %7.3f s  %-24s who %2d  much %.2f\n", f.Start.Seconds(), f.Duration.Seconds(), f.Kind, f.Target, f.Severity)
	}
	return b.String()
}
