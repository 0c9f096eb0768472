package ticketer

import (
	"context"
	"errors"
	"slices"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// Settle decides an approved ticket unless it is decided already, and records the
// decision in the ticket. Several programs may settle the same ticket
// concurrently: a single update of the head decides. After an error the ticket
// may or may not be decided; settling it again returns the decision. Settle
// returns *UnknownTicketError, *StateError if the ticket is not approved, or
// *ContendedError.
func (t *Ticketer) Settle(ctx context.Context, number uint64) (Ticket, error) {
	var previous *snapshotter.Snapshot
	for range maxContentionAttempts {
		// The head is read before the ticket. The head drops a decision only after
		// the ticket records it, so an existing decision is found in one of the two.
		head, revision, err := t.loadHead(ctx)
		if err != nil {
			return Ticket{}, err
		}
		s, err := t.loadTicket(ctx, number)
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
			ticket := t.recordDecision(ctx, s, d)
			t.trimPeriodically(ctx, d)
			return ticket, nil
		}
		previous, err = t.decide(ctx, head, revision, s.Ticket, previous)
		if err != nil && !isContention(err) {
			return s.Ticket, err
		}
	}
	return Ticket{}, &ContendedError{Key: HeadKey, Attempts: maxContentionAttempts}
}

// trimPeriodically trims at every version that is a multiple of TrimIntervalVersions.
// Errors are ignored, because the next trim finds what this one leaves.
func (t *Ticketer) trimPeriodically(ctx context.Context, d Decision) {
	if d.Version != 0 && d.Version%TrimIntervalVersions == 0 {
		_, _ = t.Trim(ctx)
	}
}

// isContention reports whether a decision failed because another one was made concurrently.
func isContention(err error) bool {
	var gone *ShardGoneError
	return isConflict(err) || errors.As(err, &gone)
}

// loadHead reads the head and its revision. It retries reads that the platform does not answer.
func (t *Ticketer) loadHead(ctx context.Context) (Head, uint64, error) {
	store := t.Store
	store.Get = t.get
	return LoadHead(ctx, store)
}

// loadSnapshot reads the snapshot of a head. It retries reads that the platform does not answer.
func (t *Ticketer) loadSnapshot(ctx context.Context, h Head, previous *snapshotter.Snapshot) (*snapshotter.Snapshot, error) {
	store := t.Store
	store.Get = t.get
	return LoadSnapshot(ctx, store, h, previous)
}

// decide tries once to decide a ticket against a head. It returns the snapshot of
// that head, so that the next attempt need not read it again.
func (t *Ticketer) decide(
	ctx context.Context, head Head, revision uint64, ticket Ticket, previous *snapshotter.Snapshot,
) (*snapshotter.Snapshot, error) {
	base, err := t.loadSnapshot(ctx, head, previous)
	if err != nil {
		return previous, err
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
	d.Replaced = replacedDigests(head.Shards, digests[:])
	nextHead, dropped := head.withDecision(next, d, t.maxRecentDecisions)
	for _, old := range dropped {
		if err := t.recordDropped(ctx, old); err != nil {
			return base, err
		}
	}
	return base, t.put(ctx, conditionalWrite{
		key: HeadKey, value: nextHead.Encode(), revision: revision, isOwn: containsDecision(d),
	})
}

// containsDecision returns a function that reports whether a stored head lists a decision.
func containsDecision(d Decision) func(value []byte) bool {
	return func(value []byte) bool {
		h, err := DecodeHead(value)
		if err != nil {
			return false
		}
		listed, ok := h.Decision(d.Ticket)
		return ok && listed.OperationID == d.OperationID
	}
}

// withDecision returns the head after a decision, and the decisions that it no longer lists.
func (h Head) withDecision(next *snapshotter.Snapshot, d Decision, maxRecent int) (Head, []Decision) {
	digests := snapshotter.ShardDigests(next)
	recent := append(slices.Clone(h.Recent), d)
	excess := max(0, len(recent)-maxRecent)
	return Head{
		Version: next.Version, Digest: next.Digest(), RemovedFloor: next.RemovedFloor,
		Shards: digests[:], Recent: recent[excess:],
	}, recent[:excess]
}

// replacedDigests returns the old digests that differ from the current ones.
func replacedDigests(old, current []snapshotter.Digest) []snapshotter.Digest {
	var replaced []snapshotter.Digest
	for i := range old {
		if old[i] != current[i] {
			replaced = append(replaced, old[i])
		}
	}
	return replaced
}

// storeShards writes the shards of a snapshot that the head does not list.
func (t *Ticketer) storeShards(ctx context.Context, head Head, next *snapshotter.Snapshot) error {
	if next.Digest() == head.Digest {
		return nil
	}
	encoded := snapshotter.EncodeShards(next)
	var writes []func() error
	for i, d := range snapshotter.ShardDigests(next) {
		if d == emptyShardDigest || d == head.Shards[i] {
			continue
		}
		writes = append(writes, func() error { return t.storeShard(ctx, d, encoded[i]) })
	}
	return t.runAll(writes)
}

// storeShard writes one shard. It rewrites a shard that exists already: the new
// revision keeps a concurrent Trim from deleting the shard.
func (t *Ticketer) storeShard(ctx context.Context, d snapshotter.Digest, value []byte) error {
	revision := uint64(0)
	for attempt := 1; ; attempt++ {
		_, err := t.Store.Put(ctx, ShardKey(d), value, revision)
		var conflict *storer.ConflictError
		if err == nil {
			return nil
		}
		if attempt == maxContentionAttempts {
			return err
		}
		if errors.As(err, &conflict) {
			revision = conflict.Actual
			continue
		}
		if !isUnanswered(err) || attempt >= maxCallAttempts || t.Backoff(ctx, attempt) != nil {
			return &storer.UnavailableError{Key: ShardKey(d), Cause: err}
		}
	}
}

// recordDecision writes a decision into the ticket. Errors are ignored, because
// the head lists the decision until the ticket records it.
func (t *Ticketer) recordDecision(ctx context.Context, s storedTicket, d Decision) Ticket {
	step := t.decisionStep(d)
	ticket, err := t.saveStep(ctx, s, step)
	if err != nil {
		return s.withStep(step)
	}
	return ticket
}

// decisionStep returns the step of a ticket that records a decision.
func (t *Ticketer) decisionStep(d Decision) Step {
	state := StateAccepted
	if d.Outcome == OutcomeRefused {
		state = StateRefused
	}
	return Step{State: state, At: t.Now(), OperationID: d.OperationID, Version: d.Version, Refusal: d.Refusal}
}

// recordDropped ensures that a ticket records its decision before the head drops it.
func (t *Ticketer) recordDropped(ctx context.Context, d Decision) error {
	for range maxContentionAttempts {
		s, err := t.loadTicket(ctx, d.Ticket)
		if err != nil {
			return err
		}
		if s.State() != StateApproved {
			return nil
		}
		if _, err = t.saveStep(ctx, s, t.decisionStep(d)); !isConflict(err) {
			return err
		}
	}
	return &ContendedError{Key: TicketKey(d.Ticket), Attempts: maxContentionAttempts}
}
