package gossiper

import "fmt"

// MalformedError reports that bytes are not a valid message of this protocol. The message is discarded as a whole.
type MalformedError struct {
	// Field is the invalid field; empty when the bytes cannot be parsed at all.
	Field string
	Cause error
}

func (e *MalformedError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("malformed gossip message: %v", e.Cause)
	}
	return fmt.Sprintf("malformed gossip message: field %q is out of range", e.Field)
}

// Unwrap returns the underlying parse error, if any.
func (e *MalformedError) Unwrap() error { return e.Cause }

// OversizedError reports that a packet or table exceeds its size limit. It is discarded as a whole.
type OversizedError struct{ Bytes, Limit int }

func (e *OversizedError) Error() string {
	return fmt.Sprintf("gossip message of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// WrongDataCentreError reports that a message comes from another data centre. The message is discarded as a whole.
type WrongDataCentreError struct{ DataCentre string }

func (e *WrongDataCentreError) Error() string {
	return fmt.Sprintf("gossip message from another data centre: %q", e.DataCentre)
}
