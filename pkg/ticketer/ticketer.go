// Package ticketer keeps change tickets and the accepted configuration in the
// platform's object store.
//
// A ticket is filed, then approved or withdrawn; an approved ticket is accepted
// or refused. Every decision is one conditional update of the head, the object
// at HeadKey, so decisions are totally ordered whatever a ticket touches.
// Configuration is stored in immutable shards named by their digest, which
// only the head makes current.
//
//	t := ticketer.New(storer.NewHTTPClient("http://10.0.0.1:7000"))
//	ticket, err := t.File(ctx, draft)
//	ticket, err = t.Approve(ctx, ticket.Number, "sigga")
//
// An operation that ends early, at any point, leaves a state that the next
// operation on the ticket finishes.
package ticketer

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// contentionAttempts bounds how often an operation starts again because others
// changed the same object.
const contentionAttempts = 50

// Ticketer works on tickets on behalf of one operator.
type Ticketer struct {
	Store storer.Client
	// Now returns the time for steps.
	Now func() time.Time
	// NewOperationID returns a text that is never returned again, by any program.
	NewOperationID func() string
	// Pause waits before the given attempt, counted from 1, or returns ctx.Err().
	Pause func(ctx context.Context, attempt int) error

	// keep is how many decisions the head lists.
	keep int
	// all runs tasks, at once or one after the other, and returns an error of one that failed.
	all func(tasks []func() error) error
}

// New returns a ticketer with the clock and random operation ids.
func New(store storer.Client) *Ticketer {
	return &Ticketer{
		Store: store, Now: time.Now, NewOperationID: rand.Text, Pause: pause, keep: RecentDecisions, all: parallel,
	}
}

// stored is a ticket with the revision of its object.
type stored struct {
	Ticket
	revision uint64
}

func (t *Ticketer) load(ctx context.Context, number uint64) (stored, error) {
	obj, err := t.get(ctx, TicketKey(number))
	if notFound(err) {
		return stored{}, &UnknownTicketError{Number: number}
	}
	if err != nil {
		return stored{}, err
	}
	ticket, err := decodeTicket(number, obj.Value)
	return stored{Ticket: ticket, revision: obj.Revision}, err
}

// save adds a step to a ticket as it was read.
func (t *Ticketer) save(ctx context.Context, s stored, step Step) (Ticket, error) {
	next := s.with(step)
	value, err := next.encode()
	if err != nil {
		return s.Ticket, err
	}
	return next, t.put(ctx, write{
		key: TicketKey(s.Number), value: value, revision: s.revision, mine: holder(s.Number, step.OperationID),
	})
}

func holder(number uint64, operationID string) func(value []byte) bool {
	return func(value []byte) bool {
		ticket, err := decodeTicket(number, value)
		return err == nil && ticket.holds(operationID)
	}
}

// File gives the draft the next free number. It returns *DraftError or
// *snapshotter.RefusedError when no configuration could ever take the change.
func (t *Ticketer) File(ctx context.Context, d Draft) (Ticket, error) {
	if err := d.Check(); err != nil {
		return Ticket{}, err
	}
	last, revision, err := t.lastNumber(ctx)
	if err != nil {
		return Ticket{}, err
	}
	step := Step{State: StateFiled, By: d.Author, At: t.Now(), OperationID: t.NewOperationID()}
	for number := last + 1; ; number++ {
		ticket, err := t.save(ctx, stored{Ticket: Ticket{Number: number, Draft: d}}, step)
		if conflicts(err) {
			continue
		}
		if err != nil {
			return Ticket{}, err
		}
		t.raiseLast(ctx, number, revision)
		return ticket, nil
	}
}

// lastTicket is the content of the object at LastTicketKey.
type lastTicket struct {
	Number uint64 `json:"number"`
}

func (t *Ticketer) lastNumber(ctx context.Context) (uint64, uint64, error) {
	obj, err := t.get(ctx, LastTicketKey)
	if notFound(err) {
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

// raiseLast is one attempt to move the hint. When it fails, later filings try
// a few more numbers.
func (t *Ticketer) raiseLast(ctx context.Context, number, revision uint64) {
	value, err := json.Marshal(lastTicket{Number: number})
	if err == nil {
		_, _ = t.Store.Put(ctx, LastTicketKey, value, revision)
	}
}

// Approve approves a filed ticket and has it decided. A ticket that is already
// approved is decided all the same, so an approval that was cut short is
// finished by repeating it. It returns *UndecidedError when the approval
// stands and the decision is not known.
func (t *Ticketer) Approve(ctx context.Context, number uint64, by string) (Ticket, error) {
	step := Step{State: StateApproved, By: by, At: t.Now(), OperationID: t.NewOperationID()}
	if _, err := t.advance(ctx, number, step, approvable); err != nil {
		return Ticket{}, err
	}
	ticket, err := t.Settle(ctx, number)
	if err != nil {
		return ticket, &UndecidedError{Number: number, Cause: err}
	}
	return ticket, nil
}

// approvable returns true when the ticket is approved already.
func approvable(ticket Ticket, by string) (bool, error) {
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

// Withdraw withdraws a filed ticket. It returns *StateError once the ticket is approved.
func (t *Ticketer) Withdraw(ctx context.Context, number uint64, by string) (Ticket, error) {
	step := Step{State: StateWithdrawn, By: by, At: t.Now(), OperationID: t.NewOperationID()}
	return t.advance(ctx, number, step, withdrawable)
}

func withdrawable(ticket Ticket, _ string) (bool, error) {
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

// advance adds a step to a filed ticket. allowed returns true when the step was
// taken before, and an error when it may not be taken.
func (t *Ticketer) advance(
	ctx context.Context, number uint64, step Step, allowed func(ticket Ticket, by string) (bool, error),
) (Ticket, error) {
	for range contentionAttempts {
		s, err := t.load(ctx, number)
		if err != nil {
			return Ticket{}, err
		}
		done, err := allowed(s.Ticket, step.By)
		if done || err != nil {
			return s.Ticket, err
		}
		ticket, err := t.save(ctx, s, step)
		if !conflicts(err) {
			return ticket, err
		}
	}
	return Ticket{}, &ContendedError{Key: TicketKey(number), Attempts: contentionAttempts}
}
