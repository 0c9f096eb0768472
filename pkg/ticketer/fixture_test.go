package ticketer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

var noon = time.Date(2026, time.December, 4, 12, 0, 0, 0, time.UTC)

func service(name string) snapshotter.Service {
	return snapshotter.Service{
		Name: name, Firm: "paza", Slots: 10, Connections: 120, Queue: 20, BulkPercent: 50, UrgentSlots: 1, RetryPercent: 10,
	}
}

func route(name, service string) snapshotter.Route {
	return snapshotter.Route{
		Name: name, Prefix: "/" + name, Service: service, Class: snapshotter.ClassShort, TimeoutMs: 2000,
	}
}

func draft(author string, c snapshotter.Change) Draft {
	return Draft{Author: author, Firm: "paza", Reason: "test", Commit: "3f2a91c", Change: c}
}

// setService returns the change that sets one service.
func setService(name string) snapshotter.Change {
	return snapshotter.Change{Services: []snapshotter.Service{service(name)}}
}

// newTicketer returns a ticketer with a fixed clock, sequential operation IDs and no backoff.
func newTicketer(client storer.Client, name string) *Ticketer {
	t := New(client)
	n := 0
	t.Now = func() time.Time { return noon }
	t.NewOperationID = func() string {
		n++
		return fmt.Sprintf("%s-%d", name, n)
	}
	t.Backoff = func(ctx context.Context, _ int) error { return ctx.Err() }
	return t
}

func mustFile(t *testing.T, tk *Ticketer, c snapshotter.Change) uint64 {
	t.Helper()
	ticket, err := tk.File(t.Context(), draft("ana", c))
	assert.NilError(t, err)
	return ticket.Number
}

func mustApprove(t *testing.T, tk *Ticketer, number uint64, want State) Ticket {
	t.Helper()
	ticket, err := tk.Approve(t.Context(), number, "ion")
	assert.NilError(t, err)
	assert.Equal(t, ticket.State(), want)
	return ticket
}

func assertError[T error](t *testing.T, err error) T {
	t.Helper()
	var target T
	assert.Assert(t, errors.As(err, &target), "%T: %v", err, err)
	return target
}

// assertVersion checks the accepted version, and that its snapshot is complete and valid.
func assertVersion(t *testing.T, fake *storer.Fake, want uint64) *snapshotter.Snapshot {
	t.Helper()
	h, _, s, err := Load(t.Context(), fake.Client(), nil)
	assert.NilError(t, err)
	assert.Equal(t, h.Version, want)
	assert.NilError(t, snapshotter.Validate(s))
	return s
}
