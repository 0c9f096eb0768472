package meter

import (
	"fmt"
	"strings"
)

// Reference returns the text of docs/METRICS.md: every metric with its labels and
// meaning.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("Each node serves these metrics, and those of the Go runtime and the process, at `/metrics` on its admin address.\n")
	fmt.Fprintf(&b, "The first %d firms have series of their own. Further ones are counted as `%s`.\n\n", maxFirms, otherLabel)
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
