package decoder

import (
	"fmt"
	"strings"
)

// Problem is one error in a file.
type Problem struct {
	// Line counts from 1.
	Line int `json:"line"`
	// Key is the path to the value, as in "services[0].slots".
	Key string `json:"key"`
	// Text describes the problem, without the key.
	Text string `json:"text"`
}

// String returns the problem on one line, for people to read.
func (p Problem) String() string { return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text) }

// InvalidError holds every problem of a file, in order of line. Source: the file.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
