package logger

import (
	"fmt"
	"strings"
)

// Reference returns the text of docs/EVENTS.md: every event with its meaning and the
// action to take.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Each line of the log has the field `event` with a number from this table.\n\n")
	b.WriteString("| event | name | level | meaning | action |\n|---|---|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| GB%04d | `%s` | %s | %s | %s |\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
	}
	return b.String()
}
