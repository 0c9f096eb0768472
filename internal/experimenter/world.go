package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
)

// world is a scenario under way.
type world struct {
	scenario  *Scenario
	loop      *loop
	instances []*instance
	hosts     []string
	entries   []*entry
	report    *Report
	// all candidates; those that start late come last.
	all []router.Candidate
	// reported holds the load of each target as last reported.
	reported []int
	arrivals *rand.Rand
}

// Run plays a scenario to its end.
func Run(s Scenario) *Report {
	w := &world{
		scenario: &s,
		loop:     &loop{now: Epoch},
		report:   &Report{stats: map[statsKey]*Stats{}, RunsByTarget: make([]int, len(s.Targets))},
		reported: make([]int, len(s.Targets)),
		arrivals: rand.New(rand.NewPCG(s.Seed, 1)),
	}
	for i := range s.Targets {
		w.addTarget(i)
	}
	for i := range s.Entries {
		w.entries = append(w.entries, &entry{
			world: w, table: router.New(), rnd: rand.New(rand.NewPCG(s.Seed, uint64(i)+2)),
			budget: retrier.NewBudget(Epoch, max(s.RetryPercent, 0)), turn: i,
		})
	}
	for i := range s.Flows {
		w.nextArrival(&s.Flows[i])
	}
	w.collectReports()
	w.loop.run(w.end().Add(settleFor))
	return w.report
}

func (w *world) end() time.Time { return w.scenario.Phases[len(w.scenario.Phases)-1].Until }

func (w *world) addTarget(i int) {
	host := fmt.Sprintf("host-%d", i)
	w.hosts = append(w.hosts, host)
	w.instances = append(w.instances, newInstance(w.loop, w.scenario, i, w.report))
	w.all = append(w.all, router.Candidate{
		Host: host, Slots: w.scenario.Limits.Slots, Distance: w.scenario.Targets[i].Distance,
	})
}

// candidates returns the targets that are ready.
func (w *world) candidates() []router.Candidate {
	n := 0
	for n < len(w.all) && !w.scenario.Targets[n].Ready.After(w.loop.now) {
		n++
	}
	return w.all[:n]
}

// nextArrival schedules the next request of a flow: a Poisson stream whose rate is looked up each time.
func (w *world) nextArrival(f *Flow) {
	gap, arrives := idleCheck, false
	if rate := f.Rate(w.loop.now); rate > 0 {
		gap, arrives = time.Duration(w.arrivals.ExpFloat64()*float64(time.Second)/rate), true
	}
	w.loop.after(gap, func() {
		if !w.loop.now.Before(w.end()) {
			return
		}
		if arrives {
			w.arrive(f)
		}
		w.nextArrival(f)
	})
}

func (w *world) arrive(f *Flow) {
	now := w.loop.now
	c := &call{flow: f, arrived: now, deadline: now.Add(f.Timeout), stats: w.report.Of(w.phase(), f.Class, f.Firm)}
	for i := range c.works {
		c.works[i] = drawWork(f.Work, w.arrivals)
	}
	w.entries[w.arrivals.IntN(len(w.entries))].arrive(c)
}

func (w *world) phase() string {
	for _, p := range w.scenario.Phases {
		if w.loop.now.Before(p.Until) {
			return p.Name
		}
	}
	return ""
}

func (w *world) collectReports() {
	for i, n := range w.instances {
		l := n.load()
		w.reported[i] = l.InFlight + l.Queued
	}
	if w.loop.now.Before(w.end()) {
		w.loop.after(reportEvery, w.collectReports)
	}
}

// leastReported returns the target with the least reported load, of equals any.
func (w *world) leastReported(rnd *rand.Rand) int {
	best, ties := 0, 0
	for i, load := range w.reported[:len(w.candidates())] {
		switch {
		case load < w.reported[best]:
			best, ties = i, 1
		case load == w.reported[best]:
			ties++
			if rnd.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
