package dispatcher

import "fmt"

// Part is a part of an answer.
type Part string

// The parts of an answer.
const (
	PartHead Part = "head"
	PartBody Part = "body"
)

// BrokenAnswerError reports an answer of which at least a part has been received, and that
// is malformed, does not belong to the request, or ended early. Source: the target.
type BrokenAnswerError struct {
	// Part is the part that was being read.
	Part  Part
	Cause error
}

func (e *BrokenAnswerError) Error() string {
	return fmt.Sprintf("broken %s of an answer: %v", e.Part, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }
