package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gentianbarrow.example/internal/retrier"
)

// Depth is how deep calls go.
const Depth = 11

// Storm is a chain of services in which every call at the end fails.
type Storm struct {
	// Depth of the chain; at least 1.
	Depth int
	// Percent of retries that each service allows; negative means three attempts each.
	Percent int
	// Requests that callers send, one each interval.
	Requests int
	Interval time.Duration
	// DropsBelow tells that services do not pass on that a deeper call was retried.
	DropsBelow bool
	// DropsAbove tells that services do not pass on that a call belongs to a retry.
	DropsAbove bool
}

// chain is a storm under way.
type chain struct {
	storm   Storm
	budgets []*retrier.Budget
	// runs counts the executions at each depth.
	runs []int
	now  time.Time
}

// Executions returns how often the service at each depth ran, from the first.
func (s Storm) Executions() []int {
	c := &chain{storm: s, runs: make([]int, s.Depth), now: Epoch}
	for range s.Depth {
		c.budgets = append(c.budgets, retrier.NewBudget(Epoch, max(s.Percent, 0)))
	}
	for range s.Requests {
		c.call(0, false)
		c.now = c.now.Add(s.Interval)
	}
	return c.runs
}

// call runs one call at a depth and tells whether its failure was of a deeper call.
func (c *chain) call(depth int, isRetry bool) {
	budget := c.budgets[depth]
	budget.RecordRequest(c.now, isRetry)
	for attempts := 1; ; attempts++ {
		c.run(depth, isRetry || attempts > 1)
		if !c.again(budget, depth, attempts, isRetry) {
			return
		}
	}
}

// run is one execution: the last service fails, the others fail by the call that they make.
func (c *chain) run(depth int, isRetry bool) {
	c.runs[depth]++
	if depth+1 < c.storm.Depth {
		c.call(depth+1, isRetry && !c.storm.DropsAbove)
	}
}

func (c *chain) again(b *retrier.Budget, depth, attempts int, isRetry bool) bool {
	if c.storm.Percent < 0 {
		return attempts < naiveAttempts
	}
	below := depth+1 < c.storm.Depth && !c.storm.DropsBelow
	a := b.Next(c.now, retrier.State{
		Outcome: retrier.OutcomeUnknown, Idempotent: true, Replayable: true,
		Attempts: attempts, TargetsLeft: naiveAttempts, Deadline: c.now.Add(shortTimeout),
		RetriedBelow: below, RetriedAbove: isRetry,
	})
	return a.Kind == retrier.ActionRetry
}

func printStorm(w io.Writer, _ uint64) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "variant\trequests\truns at depth 11\tper request\t")
	for _, v := range []struct {
		name  string
		storm Storm
	}{
		{"both markers", Storm{Percent: retryPercent, Requests: 10_000}},
		{"failure's marker lost", Storm{Percent: retryPercent, Requests: 10_000, DropsBelow: true}},
		{"retry's marker lost", Storm{Percent: retryPercent, Requests: 10_000, DropsAbove: true}},
		{"budgets only", Storm{Percent: retryPercent, Requests: 10_000, DropsAbove: true, DropsBelow: true}},
		{"three attempts each", Storm{Percent: -1, Requests: 10}},
	} {
		v.storm.Depth, v.storm.Interval = Depth, time.Millisecond
		runs := v.storm.Executions()[Depth-1]
		fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t\n", v.name, v.storm.Requests, runs, float64(runs)/float64(v.storm.Requests))
	}
	_ = t.Flush()
}
