package commander

import (
	"fmt"
	"io"
	"strings"
	"time"
	"unicode"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/ticketer"
)

func formatTime(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") }

// printable replaces unprintable characters with spaces, so that text from others
// is safe to print on one line.
func printable(text string) string {
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return ' '
		}
		return r
	}, text)
}

func writeTicket(w io.Writer, t ticketer.Ticket) {
	fmt.Fprintf(w, "ticket %d: %s\n", t.Number, describeState(t))
	fmt.Fprintf(w, "  firm:     %s\n", printable(t.Firm))
	fmt.Fprintf(w, "  reason:   %s\n", printable(t.Reason))
	fmt.Fprintf(w, "  commit:   %s\n", printable(t.Commit))
	writeResources(w, t.Change)
	for _, step := range t.Steps {
		writeStep(w, step)
	}
}

func describeState(t ticketer.Ticket) string {
	switch t.State() {
	case ticketer.StateFiled:
		return "filed, waits for approval by somebody other than " + printable(t.Author)
	case ticketer.StateApproved:
		return fmt.Sprintf("approved, not yet decided; \"gentianctl ticket settle %d\" finishes it", t.Number)
	case ticketer.StateAccepted:
		step, _ := t.Step(ticketer.StateAccepted)
		return fmt.Sprintf("accepted as version %d", step.Version)
	default:
		return string(t.State())
	}
}

func writeResources(w io.Writer, c snapshotter.Change) {
	var sets, removes []string
	for _, s := range c.Services {
		sets = append(sets, "service "+s.Name)
	}
	for _, r := range c.Routes {
		sets = append(sets, "route "+r.Name)
	}
	for _, f := range c.Firms {
		sets = append(sets, fmt.Sprintf("firm %s (keys: %d)", f.Name, len(f.Keys)))
	}
	for _, name := range c.RemoveServices {
		removes = append(removes, "service "+name)
	}
	for _, name := range c.RemoveRoutes {
		removes = append(removes, "route "+name)
	}
	for _, name := range c.RemoveFirms {
		removes = append(removes, "firm "+name)
	}
	if len(sets) > 0 {
		fmt.Fprintf(w, "  sets:     %s\n", strings.Join(sets, ", "))
	}
	if len(removes) > 0 {
		fmt.Fprintf(w, "  removes:  %s\n", strings.Join(removes, ", "))
	}
}

func writeStep(w io.Writer, s ticketer.Step) {
	by := ""
	if s.By != "" {
		by = " by " + printable(s.By)
	}
	version := ""
	if s.Version != 0 {
		version = fmt.Sprintf(" as version %d", s.Version)
	}
	fmt.Fprintf(w, "  %s%s%s at %s\n", s.State, by, version, formatTime(s.At))
	if s.Refusal == nil {
		return
	}
	writeRefusal(w, *s.Refusal)
	for _, more := range s.Refusal.More {
		writeRefusal(w, more)
	}
}

func writeRefusal(w io.Writer, e snapshotter.RefusedError) {
	fmt.Fprintf(w, "    rule:   %s\n", e.Rule)
	place := strings.TrimSpace(e.Resource + " " + e.Field)
	if place != "" {
		fmt.Fprintf(w, "    where:  %s\n", place)
	}
	fmt.Fprintf(w, "    why:    %s\n", e.Detail)
	if e.Ticket != 0 {
		fmt.Fprintf(w, "    see:    ticket %d\n", e.Ticket)
	}
}

func writeStatus(w io.Writer, s ticketer.TicketStatus) {
	writeTicket(w, s.Ticket)
	if s.State != ticketer.StateAccepted {
		return
	}
	if s.StatusUnknown {
		fmt.Fprintln(w, "  in force: unknown, the statuses of the data centres could not be read")
		return
	}
	if len(s.DataCentres) == 0 {
		fmt.Fprintln(w, "  in force: no data centre has reported yet")
		return
	}
	fmt.Fprintln(w, "  in force:")
	for _, dc := range s.DataCentres {
		writeRollout(w, dc)
	}
}

func writeRollout(w io.Writer, dc ticketer.Rollout) {
	if dc.Current {
		fmt.Fprintf(w, "    %-8s on %d of %d nodes, counted at %s\n", dc.DataCentre, dc.InForce, dc.Nodes, formatTime(dc.CountedAt))
		return
	}
	fmt.Fprintf(w, "    %-8s unknown since %s (then on %d of %d nodes)\n", dc.DataCentre, formatTime(dc.CountedAt), dc.InForce, dc.Nodes)
}

func writePlan(w io.Writer, p ticketer.Plan) {
	if p.Refusal != nil {
		fmt.Fprintf(w, "applied to version %d as ticket %d, this change would be refused:\n", p.Version, p.Ticket)
		writeRefusal(w, *p.Refusal)
		for _, more := range p.Refusal.More {
			writeRefusal(w, more)
		}
		return
	}
	fmt.Fprintf(w, "applied to version %d as ticket %d, this change would be accepted:\n", p.Version, p.Ticket)
	for _, e := range p.Effects {
		setBy := ""
		if e.SetBy != 0 {
			setBy = fmt.Sprintf(" (set by ticket %d)", e.SetBy)
		}
		fmt.Fprintf(w, "  %-7s %s%s\n", e.Action, e.Resource, setBy)
		for _, f := range e.Fields {
			fmt.Fprintf(w, "          %s: %s -> %s\n", f.Field, f.From, f.To)
		}
	}
}
