package ticketer

import (
	"fmt"

	"gentianbarrow.example/pkg/snapshotter"
)

// ShardCountError reports that a head does not list snapshotter.ShardCount shards.
// Source: the stored head.
type ShardCountError struct{ Count int }

func (e *ShardCountError) Error() string {
	return fmt.Sprintf("%d shards, not %d", e.Count, snapshotter.ShardCount)
}

// ShardGoneError reports that a shard of an older head has been deleted by Trim.
// The caller should load the head again.
type ShardGoneError struct {
	Version uint64
	Digest  snapshotter.Digest
}

func (e *ShardGoneError) Error() string {
	return fmt.Sprintf("shard %s of version %d no longer exists", e.Digest, e.Version)
}

// NumberMismatchError reports that a stored ticket has no steps, or a number other
// than that of its key. Source: the stored ticket.
type NumberMismatchError struct{ Key, Number uint64 }

func (e *NumberMismatchError) Error() string {
	return fmt.Sprintf("the object of ticket %d holds number %d", e.Key, e.Number)
}

// DraftError reports that a required field of a draft is empty. Nothing was filed.
type DraftError struct{ Field string }

func (e *DraftError) Error() string { return fmt.Sprintf("the ticket has no %s", e.Field) }

// UnknownTicketError reports that no ticket has the number.
type UnknownTicketError struct{ Number uint64 }

func (e *UnknownTicketError) Error() string { return fmt.Sprintf("there is no ticket %d", e.Number) }

// SelfApprovalError reports that an author tried to approve their own ticket. Nothing was changed.
type SelfApprovalError struct {
	Number uint64
	Author string
}

func (e *SelfApprovalError) Error() string {
	return fmt.Sprintf("ticket %d was filed by %s, who may not approve it", e.Number, e.Author)
}

// StateError reports that a ticket is not in the state that an operation requires. Nothing was changed.
type StateError struct {
	Number uint64
	// Actual is the state of the ticket. By is the operator who brought it there, or
	// empty if the state results from a decision.
	Actual State
	By     string
	// Operation is the requested state, such as StateWithdrawn.
	Operation State
}

func (e *StateError) Error() string {
	if e.Actual == StateFiled {
		return fmt.Sprintf("ticket %d is not approved yet", e.Number)
	}
	by := ""
	if e.By != "" {
		by = " by " + e.By
	}
	return fmt.Sprintf("ticket %d is %s%s and can no longer be %s", e.Number, e.Actual, by, e.Operation)
}

// ContendedError reports that other operators changed an object during every
// attempt. The operation may be repeated.
type ContendedError struct {
	Key      string
	Attempts int
}

func (e *ContendedError) Error() string {
	return fmt.Sprintf("object %q was changed by others at each of %d attempts", e.Key, e.Attempts)
}

// UndecidedError reports that a ticket is approved, but its decision could not be
// made or read. Settling the ticket makes or reads it.
type UndecidedError struct {
	Number uint64
	Cause  error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("ticket %d is approved, but whether it is decided is not known: %v", e.Number, e.Cause)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }
