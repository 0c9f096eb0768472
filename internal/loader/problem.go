package loader

import (
	"fmt"
	"strings"
)

// Problem is one fault in a settings file.
type Problem struct {
	// Line in the file, from 1; 0 when the fault has no line, such as a missing key.
	Line int
	// Key with its parents, as in "listen.nodes".
	Key string
	// Text says what is wrong, without the key.
	Text string
}

// String returns the problem as people read it.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Key, p.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text)
}

// InvalidError holds every problem of a settings file. Source: the file.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// UnreadableError tells that the file could not be read. Source: the file system.
type UnreadableError struct {
	Path  string
	Cause error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("settings file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }
