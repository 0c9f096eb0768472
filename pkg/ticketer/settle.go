package ticketer

import (
	"context"
	"errors"
	"slices"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// Settle has an approved ticket decided, and brings its record up to date with
// the head. Any number of programs may settle a ticket at once: one update of
// the head decides. On an error, the ticket may or may not be decided, and
// settling again finds out.
func (t *Ticketer) Settle(ctx context.Context, number uint64) (Ticket, error) {
	var have *snapshotter.Snapshot
	for range contentionAttempts {
		// The head is read before the ticket: a decision leaves the head's list
		// only after the ticket's record has it, so it is seen in one of the two.
		head, revision, err := t.loadHead(ctx)
		if err != nil {
			return Ticket{}, err
		}
		s, err := t.load(ctx, number)
		if err != nil {
			return Ticket{}, err
		}
		switch s.State() {
		case StateAccepted, StateRefused:
			return s.Ticket, nil
		case StateApproved:
		default:
			return s.Ticket, s.stateError(StateAccepted)
		}
		if d, ok := head.Decision(number); ok {
			ticket := t.record(ctx, s, d)
			t.trimSometimes(ctx, d)
			return ticket, nil
		}
		have, err = t.decide(ctx, head, revision, s.Ticket, have)
		if err != nil && !retryable(err) {
			return s.Ticket, err
		}
	}
	return Ticket{}, &ContendedError{Key: HeadKey, Attempts: contentionAttempts}
}

// trimSometimes trims after every TrimEvery versions. Whatever it leaves, the next one finds.
func (t *Ticketer) trimSometimes(ctx context.Context, d Decision) {
	if d.Version != 0 && d.Version%TrimEvery == 0 {
		_, _ = t.Trim(ctx)
	}
}

// retryable tells whether a decision was prevented by another one.
func retryable(err error) bool {
	var gone *ShardGoneError
	return conflicts(err) || errors.As(err, &gone)
}

func (t *Ticketer) loadHead(ctx context.Context) (Head, uint64, error) {
	store := t.Store
	store.Get = t.get
	return LoadHead(ctx, store)
}

// loadSnapshot reads the snapshot of a head, again while the platform does not answer.
func (t *Ticketer) loadSnapshot(ctx context.Context, h Head, have *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
	store := t.Store
	store.Get = t.get
	return LoadSnapshot(ctx, store, h, have)
}

// decide makes one attempt to decide a ticket upon a head, and returns the
// snapshot of that head.
func (t *Ticketer) decide(
	ctx context.Context, head Head, revision uint64, ticket Ticket, have *snapshotter.Snapshot,
) (*snapshotter.Snapshot, error) {
	base, err := t.loadSnapshot(ctx, head, have)
	if err != nil {
		return have, err
	}
	d := Decision{Ticket: ticket.Number, OperationID: t.NewOperationID()}
	next, err := snapshotter.Apply(base, ticket.Change, ticket.Number)
	var refused *snapshotter.RefusedError
	switch {
	case errors.As(err, &refused):
		d.Outcome, d.Refusal, next = OutcomeRefused, refused, base
	case err != nil:
		return base, err
	default:
		d.Outcome, d.Version = OutcomeAccepted, next.Version
	}
	digests := snapshotter.ShardDigests(next)
	if err := t.storeShards(ctx, head, next); err != nil {
		return base, err
	}
	d.Replaced = replaced(head.Shards, digests[:])
	nextHead, dropped := head.with(next, d, t.keep)
	for _, old := range dropped {
		if err := t.recordDropped(ctx, old); err != nil {
			return base, err
		}
	}
	return base, t.put(ctx, write{
		key: HeadKey, value: nextHead.Encode(), revision: revision, mine: decidedBy(d),
	})
}

func decidedBy(d Decision) func(value []byte) bool {
	return func(value []byte) bool {
		h, err := DecodeHead(value)
		if err != nil {
			return false
		}
		listed, ok := h.Decision(d.Ticket)
		return ok && listed.OperationID == d.OperationID
	}
}

// with returns the head after a decision, and the decisions that it no longer lists.
func (h Head) with(next *snapshotter.Snapshot, d Decision, keep int) (Head, []Decision) {
	digests := snapshotter.ShardDigests(next)
	recent := append(slices.Clone(h.Recent), d)
	extra := max(0, len(recent)-keep)
	return Head{
		Version: next.Version, Digest: next.Digest(), RemovedFloor: next.RemovedFloor,
		Shards: digests[:], Recent: recent[extra:],
	}, recent[:extra]
}

func replaced(old, current []snapshotter.Digest) []snapshotter.Digest {
	var gone []snapshotter.Digest
	for i := range old {
		if old[i] != current[i] {
			gone = append(gone, old[i])
		}
	}
	return gone
}

// storeShards writes the shards that the head does not name yet.
func (t *Ticketer) storeShards(ctx context.Context, head Head, next *snapshotter.Snapshot) error {
	if next.Digest() == head.Digest {
		return nil
	}
	encoded := snapshotter.EncodeShards(next)
	var writes []func() error
	for i, d := range snapshotter.ShardDigests(next) {
		if d == emptyShard || d == head.Shards[i] {
			continue
		}
		writes = append(writes, func() error { return t.storeShard(ctx, d, encoded[i]) })
	}
	return t.all(writes)
}

// storeShard writes one shard. A shard that exists already is written once
// more, so that its revision tells Trim that it is wanted again.
func (t *Ticketer) storeShard(ctx context.Context, d snapshotter.Digest, value []byte) error {
	revision := uint64(0)
	for attempt := 1; ; attempt++ {
		_, err := t.Store.Put(ctx, ShardKey(d), value, revision)
		var conflict *storer.ConflictError
		if err == nil {
			return nil
		}
		if attempt == contentionAttempts {
			return err
		}
		if errors.As(err, &conflict) {
			revision = conflict.Actual
			continue
		}
		if !silent(err) || attempt >= callAttempts || t.Pause(ctx, attempt) != nil {
			return &storer.UnavailableError{Key: ShardKey(d), Cause: err}
		}
	}
}

// record writes a decision into the ticket. The decision stands whether or not
// this succeeds: it is in the head, and stays there until the ticket has it.
func (t *Ticketer) record(ctx context.Context, s stored, d Decision) Ticket {
	step := t.step(d)
	ticket, err := t.save(ctx, s, step)
	if err != nil {
		return s.with(step)
	}
	return ticket
}

func (t *Ticketer) step(d Decision) Step {
	state := StateAccepted
	if d.Outcome == OutcomeRefused {
		state = StateRefused
	}
	return Step{State: state, At: t.Now(), OperationID: d.OperationID, Version: d.Version, Refusal: d.Refusal}
}

// recordDropped makes sure that a ticket has its decision before the head drops it.
func (t *Ticketer) recordDropped(ctx context.Context, d Decision) error {
	for range contentionAttempts {
		s, err := t.load(ctx, d.Ticket)
		if err != nil {
			return err
		}
		if s.State() != StateApproved {
			return nil
		}
		if _, err = t.save(ctx, s, t.step(d)); !conflicts(err) {
			return err
		}
	}
	return &ContendedError{Key: TicketKey(d.Ticket), Attempts: contentionAttempts}
}
