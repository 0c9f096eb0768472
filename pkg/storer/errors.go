package storer

import "fmt"

// NotFoundError tells that no object has the key. Source: the platform.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }

// ConflictError tells that the object's revision is not the expected one. Source: the platform.
type ConflictError struct {
	Key      string
	Expected uint64
	Actual   uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has revision %d, not %d", e.Key, e.Actual, e.Expected)
}

// UnavailableError tells that the platform did not take the call: nothing was written.
type UnavailableError struct {
	Key   string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform is unavailable for %q: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError tells that the answer to a write was lost: it may have taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write of %q is unknown: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CompactedError tells that the platform has dropped the history since a
// revision: scan and follow from there. Source: the platform.
type CompactedError struct {
	Kind     string
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("changes of %q since revision %d are no longer known", e.Kind, e.Revision)
}

// TooLargeError tells that a value is over MaxValueBytes. Nothing was written.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("value of %q has %d bytes, more than %d", e.Key, e.Bytes, MaxValueBytes)
}
