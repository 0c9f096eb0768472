package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"gentianbarrow.example/internal/limiter"
)

// variant is one row of an experiment.
type variant struct {
	name     string
	scenario Scenario
}

// experiment is a table of variants of one scenario.
type experiment struct {
	name string
	// print writes the table for a seed.
	print func(w io.Writer, seed uint64)
}

func experiments() []experiment {
	return []experiment{
		{"slow-target", routings(SlowTarget)},
		{"contention", orders(Contention)},
		{"liar", routings(Liar)},
		{"most-slow", routings(MostSlow)},
		{"cold-start", routings(ColdStart)},
		{"all-slow", orders(AllSlow)},
		{"fleet-11", routings(fleet(userHosts))},
		{"fleet-300", routings(fleet(300))},
		{"fleet-3000", routings(fleet(3000))},
		{"slow-fleet-300", routings(slowFleet(300))},
		{"slow-fleet-3000", routings(slowFleet(3000))},
		{"crest", admissions(crest(Roster))},
		{"crest-status-page", admissions(crest(StatusPage))},
		{"queue-order", orders(crest(Roster))},
		{"uploads", shares(Uploads)},
		{"retry-storm", printStorm},
	}
}

// Print runs the named experiment, or all, and tells whether there is one.
func Print(w io.Writer, name string, seed uint64) bool {
	found := false
	for _, e := range experiments() {
		if name != "" && name != e.name {
			continue
		}
		found = true
		fmt.Fprintf(w, "%s, seed %d\n", e.name, seed)
		e.print(w, seed)
		fmt.Fprintln(w)
	}
	return found
}

func fleet(entries int) func(uint64) Scenario {
	return func(seed uint64) Scenario { return Fleet(seed, entries) }
}

func crest(z Size) func(uint64) Scenario {
	return func(seed uint64) Scenario { return Crest(seed, z) }
}

func slowFleet(entries int) func(uint64) Scenario {
	return func(seed uint64) Scenario { return SlowFleet(seed, entries) }
}

func routings(scenario func(uint64) Scenario) func(io.Writer, uint64) {
	return func(w io.Writer, seed uint64) {
		s := scenario(seed)
		hedged := s
		hedged.Hedges = true
		printRuns(w, []variant{
			{"table", s},
			{"table, hedges", hedged},
			{"round robin", With(s, RouteRoundRobin, AdmitGate)},
			{"least reported", With(s, RouteLeastReported, AdmitGate)},
			{"random", With(s, RouteRandom, AdmitGate)},
			{"round robin, FIFO", With(s, RouteRoundRobin, AdmitFIFO)},
			{"least reported, FIFO", With(s, RouteLeastReported, AdmitFIFO)},
		})
	}
}

func admissions(scenario func(uint64) Scenario) func(io.Writer, uint64) {
	return func(w io.Writer, seed uint64) {
		s := scenario(seed)
		naive := With(s, RouteRoundRobin, AdmitAll)
		naive.RetryPercent = -1
		printRuns(w, []variant{
			{"gate", s},
			{"gate, round robin", With(s, RouteRoundRobin, AdmitGate)},
			{"unbounded FIFO", With(s, RouteTable, AdmitFIFO)},
			{"no admission", With(s, RouteTable, AdmitAll)},
			{"no admission, naive retries", naive},
		})
	}
}

func orders(scenario func(uint64) Scenario) func(io.Writer, uint64) {
	return func(w io.Writer, seed uint64) {
		var all []variant
		for _, o := range []limiter.Order{limiter.OrderFIFO, limiter.OrderLIFO, limiter.OrderDeadline} {
			s := scenario(seed)
			s.Limits.Order = o
			all = append(all, variant{string(o), s})
		}
		fixed := scenario(seed)
		fixed.Limits.FixedSlots = true
		printRuns(w, append(all, variant{"fifo, fixed slots", fixed}))
	}
}

func shares(scenario func(uint64) Scenario) func(io.Writer, uint64) {
	return func(w io.Writer, seed uint64) {
		s := scenario(seed)
		printRuns(w, []variant{
			{"no uploads", WithoutUploads(s)},
			{"shares", s},
			{"no shares", WithoutShares(s)},
			{"no shares, FIFO", With(s, RouteTable, AdmitFIFO)},
			{"no admission", With(s, RouteTable, AdmitAll)},
		})
	}
}

func printRuns(w io.Writer, all []variant) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "variant\tphase\tclass\tfirm\toffered\tgood %\trefused\tlate\tgoodput/s\tp50 ms\tp99 ms\tp99.9 ms\tattempts\t")
	for _, v := range all {
		r := Run(v.scenario)
		from := Epoch
		for _, p := range v.scenario.Phases {
			for _, key := range flowKeys(v.scenario.Flows) {
				printRow(t, v.name, p, key, r, p.Until.Sub(from))
			}
			from = p.Until
		}
	}
	_ = t.Flush()
}

// flowKeys returns the class and firm of each flow.
func flowKeys(flows []Flow) []statsKey {
	var keys []statsKey
	for _, f := range flows {
		keys = append(keys, statsKey{class: f.Class, firm: f.Firm})
	}
	return keys
}

func printRow(w io.Writer, name string, p Phase, key statsKey, r *Report, length time.Duration) {
	s := r.Of(p.Name, key.class, key.firm)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%.1f\t%d\t%d\t%.0f\t%s\t%s\t%s\t%d\t\n",
		name, p.Name, key.class, key.firm, s.Offered, s.GoodPercent(), s.Refused, s.Late,
		float64(s.Good)/length.Seconds(), ms(s.Percentile(50)), ms(s.Percentile(99)), ms(s.Percentile(99.9)), r.Attempts)
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
