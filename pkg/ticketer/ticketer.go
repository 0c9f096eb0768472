// Package ticketer stores change tickets and the accepted configuration in the
// platform's object store.
//
// A ticket is filed, then approved or withdrawn; an approved ticket is accepted
// or refused. Every decision is one conditional update of the head, the object
// at HeadKey, so all decisions are totally ordered, whichever resources their
// tickets change. The configuration is stored in immutable shards that are named
// by their digest. The head lists the digests of the accepted version.
//
//	t := ticketer.New(storer.NewHTTPClient("http://10.0.0.1:7000"))
//	ticket, err := t.File(ctx, draft)
//	ticket, err = t.Approve(ctx, ticket.Number, "sigga")
//
// An operation may be interrupted at any point. The next operation on the same
// ticket continues from the state that it left.
package ticketer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// maxContentionAttempts limits how often an operation is attempted while other
// writers change the same object.
const maxContentionAttempts = 50

// Ticketer files, decides and reads tickets on behalf of one operator. Create
// it with New. Besides the errors that they document, its methods return those of
// storer.Client, and *snapshotter.MalformedError if a stored object cannot be
// decoded.
type Ticketer struct {
	Store storer.Client
	// Now returns the time that is recorded in the steps of tickets.
	Now func() time.Time
	// NewOperationID returns an ID that is globally unique.
	NewOperationID func() string
	// Backoff waits after the given failed attempt, counted from 1. It returns
	// ctx.Err() if the context ends first.
	Backoff func(ctx context.Context, attempt int) error

	// maxRecentDecisions is how many decisions the head lists.
	maxRecentDecisions int
	// runAll runs tasks concurrently or in sequence, and returns the error of a task that failed.
	runAll func(tasks []func() error) error
}

// New returns a Ticketer that uses the system clock and random operation IDs.
func New(store storer.Client) *Ticketer {
	return &Ticketer{
		Store: store, Now: time.Now, NewOperationID: rand.Text, Backoff: backOff,
		maxRecentDecisions: MaxRecentDecisions, runAll: runParallel,
	}
}

// storedTicket is a ticket with the revision of its object.
type storedTicket struct {
	Ticket
	revision uint64
}

func (t *Ticketer) loadTicket(ctx context.Context, number uint64) (storedTicket, error) {
	obj, err := t.get(ctx, TicketKey(number))
	if isNotFound(err) {
		return storedTicket{}, &UnknownTicketError{Number: number}
	}
	if err != nil {
		return storedTicket{}, err
	}
	ticket, err := decodeTicket(number, obj.Value)
	return storedTicket{Ticket: ticket, revision: obj.Revision}, err
}

// saveStep adds a step to a ticket, on condition that it is still as it was read.
func (t *Ticketer) saveStep(ctx context.Context, s storedTicket, step Step) (Ticket, error) {
	next := s.withStep(step)
	value, err := next.encode()
	if err != nil {
		return s.Ticket, err
	}
	return next, t.put(ctx, conditionalWrite{
		key: TicketKey(s.Number), value: value, revision: s.revision, isOwn: containsStep(s.Number, step.OperationID),
	})
}

// containsStep returns a function that reports whether a stored ticket has the step of an operation.
func containsStep(number uint64, operationID string) func(value []byte) bool {
	return func(value []byte) bool {
		ticket, err := decodeTicket(number, value)
		return err == nil && ticket.hasOperation(operationID)
	}
}

// File stores the draft as a ticket with the next free number. It returns
// *DraftError or *snapshotter.RefusedError if the draft is invalid whatever
// configuration is accepted. After *storer.UnknownOutcomeError the ticket may be
// filed, and filing it again may create a second one.
func (t *Ticketer) File(ctx context.Context, d Draft) (Ticket, error) {
	if err := d.Validate(); err != nil {
		return Ticket{}, err
	}
	last, revision, err := t.readLastNumber(ctx)
	if err != nil {
		return Ticket{}, err
	}
	step := Step{State: StateFiled, By: d.Author, At: t.Now(), OperationID: t.NewOperationID()}
	for number := last + 1; ; number++ {
		ticket, err := t.saveStep(ctx, storedTicket{Ticket: Ticket{Number: number, Draft: d}}, step)
		if isConflict(err) {
			continue
		}
		if err != nil {
			return Ticket{}, err
		}
		t.updateLastNumber(ctx, number, revision)
		return ticket, nil
	}
}

// lastTicket is the content of the object at LastTicketKey.
type lastTicket struct {
	Number uint64 `json:"number"`
}

// readLastNumber returns the hint at LastTicketKey and its revision, both 0 if there is none.
func (t *Ticketer) readLastNumber(ctx context.Context) (uint64, uint64, error) {
	obj, err := t.get(ctx, LastTicketKey)
	if isNotFound(err) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	var last lastTicket
	if err := json.Unmarshal(obj.Value, &last); err != nil {
		return 0, 0, &snapshotter.MalformedError{Subject: LastTicketKey, Cause: err}
	}
	return last.Number, obj.Revision, nil
}

// updateLastNumber tries once to update the hint at LastTicketKey. If that
// fails, later filings try some numbers that are already in use.
func (t *Ticketer) updateLastNumber(ctx context.Context, number, revision uint64) {
	value, err := json.Marshal(lastTicket{Number: number})
	if err == nil {
		_, _ = t.Store.Put(ctx, LastTicketKey, value, revision)
	}
}

// Approve approves a filed ticket and settles it. A ticket that is already
// approved is settled too, so that repeating an interrupted approval completes
// it. Approve returns *UnknownTicketError, *SelfApprovalError, *StateError if the
// ticket is withdrawn, *ContendedError if the ticket could not be approved, or
// *UndecidedError if it is approved but its decision is not known.
func (t *Ticketer) Approve(ctx context.Context, number uint64, by string) (Ticket, error) {
	step := Step{State: StateApproved, By: by, At: t.Now(), OperationID: t.NewOperationID()}
	if _, err := t.addStep(ctx, number, step, checkApproval); err != nil {
		return Ticket{}, err
	}
	ticket, err := t.Settle(ctx, number)
	if err != nil {
		return ticket, &UndecidedError{Number: number, Cause: err}
	}
	return ticket, nil
}

// checkApproval returns true if the ticket is approved already, and an error if it may not be approved.
func checkApproval(ticket Ticket, by string) (bool, error) {
	switch {
	case ticket.State() == StateWithdrawn:
		return false, ticket.stateError(StateApproved)
	case ticket.State() != StateFiled:
		return true, nil
	case samePerson(ticket.Author, by):
		return false, &SelfApprovalError{Number: ticket.Number, Author: ticket.Author}
	default:
		return false, nil
	}
}

// Withdraw withdraws a filed ticket. Withdrawing it again has no effect. It
// returns *UnknownTicketError, *StateError if the ticket is approved already, or
// *ContendedError.
func (t *Ticketer) Withdraw(ctx context.Context, number uint64, by string) (Ticket, error) {
	step := Step{State: StateWithdrawn, By: by, At: t.Now(), OperationID: t.NewOperationID()}
	return t.addStep(ctx, number, step, checkWithdrawal)
}

// checkWithdrawal returns true if the ticket is withdrawn already, and an error if it may not be withdrawn.
func checkWithdrawal(ticket Ticket, _ string) (bool, error) {
	switch ticket.State() {
	case StateWithdrawn:
		return true, nil
	case StateFiled:
		return false, nil
	default:
		return false, ticket.stateError(StateWithdrawn)
	}
}

func (t Ticket) stateError(operation State) error {
	step, _ := t.Step(t.State())
	return &StateError{Number: t.Number, Actual: t.State(), By: step.By, Operation: operation}
}

// addStep adds a step to a filed ticket. check returns true if the ticket needs
// no such step any more, and an error if the step is not allowed.
func (t *Ticketer) addStep(
	ctx context.Context, number uint64, step Step, check func(ticket Ticket, by string) (bool, error),
) (Ticket, error) {
	for range maxContentionAttempts {
		s, err := t.loadTicket(ctx, number)
		if err != nil {
			return Ticket{}, err
		}
		done, err := check(s.Ticket, step.By)
		if done || err != nil {
			return s.Ticket, err
		}
		ticket, err := t.saveStep(ctx, s, step)
		if !isConflict(err) {
			return ticket, err
		}
	}
	return Ticket{}, &ContendedError{Key: TicketKey(number), Attempts: maxContentionAttempts}
}
