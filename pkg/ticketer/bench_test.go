package ticketer

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// smallChange changes one service of the fleet and one of its routes.
func smallChange() snapshotter.Change {
	c := fleetChange(1234, 1)
	c.Routes = c.Routes[:1]
	return c
}

func acceptSmallChange(b *testing.B, tk *Ticketer) {
	b.Helper()
	ticket, err := tk.File(context.Background(), draft("ana", smallChange()))
	assert.NilError(b, err)
	ticket, err = tk.Approve(context.Background(), ticket.Number, "ion")
	assert.NilError(b, err)
	assert.Equal(b, ticket.State(), StateAccepted)
}

// reportCallsPerOp reports the calls and bytes of an operation.
func reportCallsPerOp(b *testing.B, fake *storer.Fake, before storer.Counts) {
	b.Helper()
	after := fake.Counts()
	n := float64(b.N)
	b.ReportMetric(float64(after.Reads-before.Reads)/n, "reads/op")
	b.ReportMetric(float64(after.Writes-before.Writes)/n, "writes/op")
	b.ReportMetric(float64(after.ReadBytes-before.ReadBytes)/n, "read-bytes/op")
	b.ReportMetric(float64(after.WrittenBytes-before.WrittenBytes)/n, "written-bytes/op")
}

func BenchmarkFleet(b *testing.B) {
	ctx := context.Background()
	fake := storer.NewFake()
	tk := newTicketer(fake.Client(), "one")
	acceptFleet(b, tk)
	// The head lists only small tickets, as in normal operation.
	for range MaxRecentDecisions {
		acceptSmallChange(b, tk)
	}
	_, _, snapshot, err := Load(ctx, fake.Client(), nil)
	assert.NilError(b, err)
	b.Run("a ticket, filed and approved", func(b *testing.B) {
		before := fake.Counts()
		for b.Loop() {
			acceptSmallChange(b, tk)
		}
		reportCallsPerOp(b, fake, before)
	})
	b.Run("a follower without a snapshot", func(b *testing.B) {
		before := fake.Counts()
		for b.Loop() {
			_, _, _, err := Load(ctx, fake.Client(), nil)
			assert.NilError(b, err)
		}
		reportCallsPerOp(b, fake, before)
	})
	_, _, snapshot, err = Load(ctx, fake.Client(), snapshot)
	assert.NilError(b, err)
	acceptSmallChange(b, tk)
	b.Run("a follower one version behind", func(b *testing.B) {
		before := fake.Counts()
		for b.Loop() {
			_, _, _, err := Load(ctx, fake.Client(), snapshot)
			assert.NilError(b, err)
		}
		reportCallsPerOp(b, fake, before)
	})
	b.Run("a follower one version behind, by shards", func(b *testing.B) {
		h, _, err := LoadHead(ctx, fake.Client())
		assert.NilError(b, err)
		b.ReportMetric(float64(len(h.Encode())), "head-bytes")
		h.Recent = nil
		before := fake.Counts()
		for b.Loop() {
			_, err := LoadSnapshot(ctx, fake.Client(), h, snapshot)
			assert.NilError(b, err)
		}
		reportCallsPerOp(b, fake, before)
	})
}
