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
	fmt.Fprintf(&b, "The %d firms with the most requests of late have series of their own. The others are counted together as `%s`.\n", maxFirms, otherLabel)
	b.WriteString("The firm is that of the access key, or that of the service where the configuration has no firms; it is empty for requests without a key that is known.\n\n")
	b.WriteString("| metric | labels | meaning |\n|---|---|---|\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
