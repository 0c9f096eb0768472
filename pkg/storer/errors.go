package storer

import "fmt"

// NotFoundError reports that no object has the key. Source: the platform.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }

// ConflictError reports that the object's revision is not the expected one. Source: the platform.
type ConflictError struct {
	Key      string
	Expected uint64
	Actual   uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has revision %d, not %d", e.Key, e.Actual, e.Expected)
}

// UnavailableError reports that a call failed and that nothing was written.
// Source: the platform, or the connection to it.
type UnavailableError struct {
	Key   string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform is unavailable for %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the answer to a write was lost; the write may
// have taken effect. Source: the connection, or a platform answer that does not
// say what happened.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write of %q is unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CompactedError reports that the platform no longer has the history since a
// revision: call Scan and follow from the revision that it returns. Source: the
// platform.
type CompactedError struct {
	Kind     string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of %q since revision %d are no longer known", e.Kind, e.Revision)
}

// TooLargeError reports that a value is larger than MaxValueBytes. Nothing was
// written. Source: the client, before the call.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, more than %d", e.Key, e.Bytes, MaxValueBytes)
}

// LongAnswerError is the cause of an *UnavailableError or an *UnknownOutcomeError when the
// body of an answer is longer than Max bytes, so that a part of it was not read. Source: the
// platform.
type LongAnswerError struct{ Max int64 }

func (e *LongAnswerError) Error() string {
	return fmt.Sprintf("body of an answer is longer than %d bytes", e.Max)
}
