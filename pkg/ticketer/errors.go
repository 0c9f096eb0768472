package ticketer

import (
	"fmt"

	"gentianbarrow.example/pkg/snapshotter"
)

// ShardCountError tells that a head names another number of shards than snapshotter.ShardCount.
type ShardCountError struct{ Count int }

func (e *ShardCountError) Error() string {
	return fmt.Sprintf("%d shards, not %d", e.Count, snapshotter.ShardCount)
}

// ShardGoneError tells that a shard of an older head has been collected. Load the head again.
type ShardGoneError struct {
	Version uint64
	Digest  snapshotter.Digest
}

func (e *ShardGoneError) Error() string {
	return fmt.Sprintf("shard %s of version %d no longer exists", e.Digest, e.Version)
}

// NumberError tells that a stored ticket has not the number of its key.
type NumberError struct{ Key, Number uint64 }

func (e *NumberError) Error() string {
	return fmt.Sprintf("the object of ticket %d holds number %d", e.Key, e.Number)
}

// DraftError tells that a draft lacks a field. Nothing was filed.
type DraftError struct{ Field string }

func (e *DraftError) Error() string { return fmt.Sprintf("the ticket has no %s", e.Field) }

// UnknownTicketError tells that no ticket has the number.
type UnknownTicketError struct{ Number uint64 }

func (e *UnknownTicketError) Error() string { return fmt.Sprintf("there is no ticket %d", e.Number) }

// SelfApprovalError tells that authors may not approve their own tickets. Nothing was changed.
type SelfApprovalError struct {
	Number uint64
	Author string
}

func (e *SelfApprovalError) Error() string {
	return fmt.Sprintf("ticket %d was filed by %s, who may not approve it", e.Number, e.Author)
}

// StateError tells that a ticket is not in the state that an operation needs. Nothing was changed.
type StateError struct {
	Number uint64
	// Actual is where the ticket stands, and By who brought it there; empty when a rule did.
	Actual State
	By     string
	// Operation that was asked for, such as "withdrawn".
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

// ContendedError tells that other operators changed an object at every
// attempt. Nothing is lost: repeat the operation.
type ContendedError struct {
	Key      string
	Attempts int
}

func (e *ContendedError) Error() string {
	return fmt.Sprintf("object %q was changed by others at each of %d attempts", e.Key, e.Attempts)
}

// UndecidedError tells that a ticket is approved, and that its decision could
// not be made or read. Settling the ticket finds out.
type UndecidedError struct {
	Number uint64
	Cause  error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("ticket %d is approved, but whether it is decided is not known: %v", e.Number, e.Cause)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }
