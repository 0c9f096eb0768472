package gossiper

import "fmt"

// MalformedError tells that bytes are no acceptable message of this protocol. Nothing of it is used.
type MalformedError struct {
	// Field that breaks a rule; empty when the bytes are no message at all.
	Field string
	Cause error
}

func (e *MalformedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("malformed gossip message: %v", e.Cause)
	}
	return fmt.Sprintf("malformed gossip message: field %q is out of range", e.Field)
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// OversizedError tells that a packet or table is over the limit. Nothing of it is used.
type OversizedError struct{ Bytes, Limit int }

func (e *OversizedError) Error() string {
	return fmt.Sprintf("gossip message of %d bytes is over the limit of %d", e.Bytes, e.Limit)
}

// ForeignError tells that a message comes from another data centre. Nothing of it is used.
type ForeignError struct{ DataCentre string }

func (e *ForeignError) Error() string {
	return fmt.Sprintf("gossip message from data centre %q", e.DataCentre)
}
