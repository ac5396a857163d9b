package scenario

import (
	"fmt"
	"io"
	"math"
	"sync"
	"sync/atomic"
)

const (
	// confidence95 is the number of standard deviations on either side of a mean that hold 95% of a normal
	// distribution.
	confidence95 = 1.96
	// relevantDifference is the difference in service that an experiment should be able to distinguish from chance.
	relevantDifference = 0.01
	// ownPolicy is the name in results of package balance, whose policy name is empty.
	ownPolicy = "module"
)

// Experiment compares policies on scripts, paired by seed.
type Experiment struct {
	Scripts  []Script
	Seeds    int      // of each script: 1 to this
	Policies []string // the others are compared with the first; an empty name is package balance
	Workers  int      // concurrent runs
}

// Cell is the result of one policy on one script.
type Cell struct {
	Script          string  `json:"script"`
	Policy          string  `json:"policy"`
	Service         float64 `json:"whole"`     // mean
	WorstWindow     float64 `json:"worst_ten"` // mean of the service over the worst window
	Difference      float64 `json:"diff"`      // mean of the service minus that of the first policy
	ConfidenceBound float64 `json:"bound"`     // half of the 95% confidence interval of Difference
	FailedSeeds     int     `json:"broken"`    // seeds with violations
	SeedsNeeded     int     `json:"need"`      // seeds that would make a relevant difference significant
}

// Run plays every script with every seed and policy on the virtual clock and returns a cell for each script and
// policy, in their order. progress, if it is not nil, is called after each run, by one worker at a time.
func (e *Experiment) Run(progress func(done, all int)) []Cell {
	outcomes := e.play(progress)
	var cells []Cell
	for s := range e.Scripts {
		scriptOutcomes := outcomes[s*len(e.Policies)*e.Seeds:]
		firstOutcomes := scriptOutcomes[:e.Seeds]
		for p, policy := range e.Policies {
			policyOutcomes := scriptOutcomes[p*e.Seeds : (p+1)*e.Seeds]
			cells = append(cells, newCell(e.Scripts[s].Name, policy, firstOutcomes, policyOutcomes))
		}
	}
	return cells
}

// task is one run of an experiment.
type task struct {
	script, policy int // indexes
	seed           uint64
}

// tasks returns all runs: by script, then by policy, then by seed.
func (e *Experiment) tasks() (tasks []task) {
	for script := range e.Scripts {
		for policy := range e.Policies {
			for i := range e.Seeds {
				tasks = append(tasks, task{script, policy, uint64(i + 1)})
			}
		}
	}
	return tasks
}

// play returns the outcomes of all runs, in the order of tasks.
func (e *Experiment) play(progress func(done, all int)) []Outcome {
	tasks := e.tasks()
	outcomes := make([]Outcome, len(tasks))
	var next, done atomic.Int64
	var wg sync.WaitGroup
	var mu sync.Mutex // serializes calls of progress
	for range max(1, e.Workers) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(tasks)); i = next.Add(1) - 1 {
				t := tasks[i]
				outcomes[i] = PlayWithPolicy(e.Scripts[t.script], t.seed, e.Policies[t.policy])
				if n := done.Add(1); progress != nil {
					mu.Lock()
					progress(int(n), len(tasks))
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return outcomes
}

// newCell summarizes one policy's runs of a script and compares them with the first policy's runs on the same seeds.
func newCell(script, policy string, first, own []Outcome) Cell {
	c := Cell{Script: script, Policy: policy}
	if policy == "" {
		c.Policy = ownPolicy
	}
	n, sum, squares := float64(len(own)), 0.0, 0.0
	for i := range own {
		c.Service += own[i].Service / n
		c.WorstWindow += own[i].WorstWindow / n
		difference := own[i].Service - first[i].Service
		sum, squares = sum+difference, squares+difference*difference
		if len(own[i].Violations) > 0 {
			c.FailedSeeds++
		}
	}
	c.Difference = sum / n
	if n > 1 {
		deviation := math.Sqrt(max(0, (squares-sum*sum/n)/(n-1))) // rounding may take the variance below 0
		c.ConfidenceBound = confidence95 * deviation / math.Sqrt(n)
		rootOfSeeds := confidence95 * deviation / relevantDifference
		c.SeedsNeeded = int(math.Ceil(rootOfSeeds * rootOfSeeds))
	}
	return c
}

// Verdict describes how a policy compares with the first: better or worse, and by how much, or not distinguishable, if the
// difference lies within its 95% confidence interval.
func (c *Cell) Verdict(first string) string {
	switch {
	case math.Abs(c.Difference) <= c.ConfidenceBound:
		return fmt.Sprintf("no difference from %s that is statistically significant", first)
	case c.Difference > 0:
		return fmt.Sprintf("better than %s by %.4f", first, c.Difference)
	}
	return fmt.Sprintf("worse than %s by %.4f", first, -c.Difference)
}

// WriteTable writes the cells as text. Errors of out are ignored.
func WriteTable(out io.Writer, cells []Cell) {
	firstPolicy, script := "", ""
	for i := range cells {
		c := &cells[i]
		if c.Script != script {
			firstPolicy, script = c.Policy, c.Script
			fmt.Fprintf(out, "%s\n", script)
		}
		fmt.Fprintf(out, "  %-8s service %.4f  worst ten %.4f", c.Policy, c.Service, c.WorstWindow)
		if c.Policy != firstPolicy {
			fmt.Fprintf(out, "  %+.4f ± %.4f: %s; a difference of 0.01 needs %d seeds", c.Difference, c.ConfidenceBound, c.Verdict(firstPolicy), c.SeedsNeeded)
		}
		if c.FailedSeeds > 0 {
			fmt.Fprintf(out, "; %d seeds broke a rule", c.FailedSeeds)
		}
		fmt.Fprintln(out)
	}
}
