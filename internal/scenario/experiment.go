package scenario

import (
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
)

// Experiment compares policies on scripts, paired seed by seed.
type Experiment struct {
	Scripts  []Script
	Seeds    int      // of each script: 1 to this
	Policies []string // the first is what the others are set against; empty: the module
	Workers  int      // runs at once
}

// Cell is one policy on one script.
type Cell struct {
	Script          string  `json:"script"`
	Policy          string  `json:"policy"`
	Service         float64 `json:"whole"`     // mean service
	WorstWindow     float64 `json:"worst_ten"` // mean of the worst ten seconds
	Difference      float64 `json:"diff"`      // of the service, against the first policy: mean
	ConfidenceBound float64 `json:"bound"`     // and half of its 95% confidence interval
	FailedSeeds     int     `json:"broken"`    // seeds that broke a rule
	SeedsNeeded     int     `json:"need"`      // seeds that would make a difference of 0.01 significant
}

// Run plays every script with every seed and policy on the virtual clock and returns a cell for each script and
// policy, in their order. told, if it is not nil, is called after each run.
func (e *Experiment) Run(told func(done, all int)) []Cell {
	type task struct{ script, policy, seed int }
	var tasks []task
	for s := range e.Scripts {
		for p := range e.Policies {
			for seed := range e.Seeds {
				tasks = append(tasks, task{s, p, seed})
			}
		}
	}
	outcomes := make([]Outcome, len(tasks))
	var next, done atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range max(1, e.Workers) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(tasks)); i = next.Add(1) - 1 {
				t := tasks[i]
				outcomes[i] = PlayWithPolicy(e.Scripts[t.script], uint64(t.seed+1), e.Policies[t.policy])
				if n := done.Add(1); told != nil {
					mu.Lock()
					told(int(n), len(tasks))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	var cells []Cell
	for s := range e.Scripts {
		first := outcomes[s*len(e.Policies)*e.Seeds:]
		for p, name := range e.Policies {
			own := first[p*e.Seeds : (p+1)*e.Seeds]
			cells = append(cells, cell(e.Scripts[s].Name, name, first[:e.Seeds], own))
		}
	}
	return cells
}

// cell sums up one policy's runs of a script against the first policy's, which are of the same seeds.
func cell(script, policy string, against, own []Outcome) Cell {
	c := Cell{Script: script, Policy: policy}
	if policy == "" {
		c.Policy = "module"
	}
	n, sum, squares := float64(len(own)), 0.0, 0.0
	for i := range own {
		c.Service += own[i].Service / n
		c.WorstWindow += own[i].WorstWindow / n
		d := own[i].Service - against[i].Service
		sum, squares = sum+d, squares+d*d
		if len(own[i].Violations) > 0 {
			c.FailedSeeds++
		}
	}
	c.Difference = sum / n
	if n > 1 {
		deviation := math.Sqrt(max(0, (squares-sum*sum/n)/(n-1)))
		c.ConfidenceBound = 1.96 * deviation / math.Sqrt(n)
		part := 1.96 * deviation / 0.01
		c.SeedsNeeded = int(math.Ceil(part * part))
	}
	return c
}

// Sentence says how a policy compares with the first: better or worse by so much, or, where the difference lies
// within its 95% confidence interval, not to be told apart.
func (c *Cell) Verdict(first string) string {
	switch {
	case math.Abs(c.Difference) <= c.ConfidenceBound:
		return fmt.Sprintf("no difference from %s that chance would not make", first)
	case c.Difference > 0:
		return fmt.Sprintf("better than %s by %.4f", first, c.Difference)
	}
	return fmt.Sprintf("worse than %s by %.4f", first, -c.Difference)
}

// Table writes the cells as text.
func WriteTable(out io.Writer, cells []Cell) {
	first, script := "", ""
	for i := range cells {
		c := &cells[i]
		if c.Script != script {
			first, script = c.Policy, c.Script
			fmt.Fprintf(out, "%s\n", script)
		}
		fmt.Fprintf(out, "  %-8s service %.4f  worst ten %.4f", c.Policy, c.Service, c.WorstWindow)
		if c.Policy != first {
			fmt.Fprintf(out, "  %+.4f ± %.4f: %s; a difference of 0.01 needs %d seeds", c.Difference, c.ConfidenceBound, c.Verdict(first), c.SeedsNeeded)
		}
		if c.FailedSeeds > 0 {
			fmt.Fprintf(out, "; %d seeds broke a rule", c.FailedSeeds)
		}
		fmt.Fprintln(out)
	}
}
