package meter

import (
	"fmt"
	"strings"
)

// Reference returns docs/METRICS.md: every metric with its labels and meaning.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Metrics\n\n")
	b.WriteString("Served at `/metrics` on the admin address of each node, besides those of the Go runtime and the process.\n")
	fmt.Fprintf(&b, "The first %d firms have series of their own; further ones are counted as `%s`.\n\n", maxFirms, other)
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
