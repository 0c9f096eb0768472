package ticketer

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// fleetServices is the number of services of the fleet. Each has two routes.
const fleetServices = 3600

// fleetChange sets some services of the fleet.
func fleetChange(first, count int) snapshotter.Change {
	var c snapshotter.Change
	for i := first; i < first+count; i++ {
		name := fmt.Sprintf("paza-trecerii-unite-service-%04d", i)
		c.Services = append(c.Services, service(name))
		c.Routes = append(c.Routes, route("callers-of-"+name, name), route("internal-use-of-"+name, name))
	}
	return c
}

// acceptFleet files and approves tickets for the whole fleet, and returns the number of tickets.
func acceptFleet(tb testing.TB, tk *Ticketer) uint64 {
	tb.Helper()
	const perTicket = 600
	for first := 0; first < fleetServices; first += perTicket {
		ticket, err := tk.File(context.Background(), draft("ana", fleetChange(first, perTicket)))
		assert.NilError(tb, err)
		ticket, err = tk.Approve(context.Background(), ticket.Number, "ion")
		assert.NilError(tb, err)
		assert.Equal(tb, ticket.State(), StateAccepted)
	}
	return fleetServices / perTicket
}

func TestFleetIsSharded(t *testing.T) {
	fake := storer.NewFake()
	versions := acceptFleet(t, newTicketer(fake.Client(), "one"))
	s := assertVersion(t, fake, versions)
	assert.Equal(t, len(s.Services), fleetServices)
	total := 0
	for _, obj := range fake.Dump() {
		assert.Assert(t, len(obj.Value) < storer.MaxValueBytes, "%s has %d bytes", obj.Key, len(obj.Value))
	}
	for _, shard := range snapshotter.EncodeShards(s) {
		total += len(shard)
	}
	assert.Assert(t, total > storer.MaxValueBytes, "%d bytes", total)
}

func TestLoadSnapshot(t *testing.T) {
	fake := storer.NewFake()
	tk := newTicketer(fake.Client(), "one")
	for _, name := range []string{"assign", "evidence", "roster", "gates"} {
		mustApprove(t, tk, mustFile(t, tk, setService(name)), StateAccepted)
	}
	h, _, snapshot, err := Load(t.Context(), fake.Client(), nil)
	assert.NilError(t, err)
	mustApprove(t, tk, mustFile(t, tk, setService("assign")), StateAccepted)
	next, _, err := LoadHead(t.Context(), fake.Client())
	assert.NilError(t, err)
	assertReads := func(t *testing.T, h Head, previous *snapshotter.Snapshot, want int) {
		t.Helper()
		before := fake.Counts().Reads
		s, err := LoadSnapshot(t.Context(), fake.Client(), h, previous)
		assert.NilError(t, err)
		assert.Equal(t, s.Digest(), h.Digest)
		assert.Equal(t, fake.Counts().Reads-before, want)
	}
	t.Run("the same version needs no read", func(t *testing.T) { assertReads(t, h, snapshot, 0) })
	t.Run("the next version needs one ticket", func(t *testing.T) { assertReads(t, next, snapshot, 1) })
	t.Run("an older version needs its changed shard", func(t *testing.T) {
		newer, err := LoadSnapshot(t.Context(), fake.Client(), next, snapshot)
		assert.NilError(t, err)
		assertReads(t, h, newer, 1)
	})
	t.Run("a reader without a snapshot reads every shard that is not empty", func(t *testing.T) { assertReads(t, next, nil, 4) })
	t.Run("a tampered ticket is not used", func(t *testing.T) {
		forged := setService("assign")
		forged.Services[0].Slots = 7
		overwrite(t, fake, TicketKey(5), mustEncode(t, Ticket{Number: 5, Draft: draft("ana", forged), Steps: []Step{{}}}))
		assertReads(t, next, snapshot, 2)
	})
}

func mustEncode(t *testing.T, ticket Ticket) []byte {
	t.Helper()
	data, err := ticket.encode()
	assert.NilError(t, err)
	return data
}

// overwrite replaces an object whatever its revision.
func overwrite(t *testing.T, fake *storer.Fake, key string, value []byte) {
	t.Helper()
	obj, err := fake.Client().Get(t.Context(), key)
	assert.NilError(t, err)
	_, err = fake.Client().Put(t.Context(), key, value, obj.Revision)
	assert.NilError(t, err)
}

func TestLoadRejectsCorruptState(t *testing.T) {
	accepted := func(t *testing.T) (*storer.Fake, Head) {
		t.Helper()
		fake := storer.NewFake()
		tk := newTicketer(fake.Client(), "one")
		mustApprove(t, tk, mustFile(t, tk, setService("assign")), StateAccepted)
		h, _, err := LoadHead(t.Context(), fake.Client())
		assert.NilError(t, err)
		return fake, h
	}
	shard := func(h Head) string { return ShardKey(h.Shards[snapshotter.ShardOf("assign")]) }
	load := func(t *testing.T, fake *storer.Fake) error {
		t.Helper()
		_, _, s, err := Load(t.Context(), fake.Client(), nil)
		assert.Assert(t, s == nil)
		return err
	}
	t.Run("a tampered shard", func(t *testing.T) {
		fake, h := accepted(t)
		overwrite(t, fake, shard(h), []byte("x"))
		assertError[*snapshotter.DigestMismatchError](t, load(t, fake))
	})
	t.Run("a missing shard", func(t *testing.T) {
		fake, h := accepted(t)
		obj, err := fake.Client().Get(t.Context(), shard(h))
		assert.NilError(t, err)
		assert.NilError(t, fake.Client().Delete(t.Context(), obj.Key, obj.Revision))
		assertError[*ShardGoneError](t, load(t, fake))
	})
	t.Run("a head with reordered shards", func(t *testing.T) {
		fake, h := accepted(t)
		h.Shards = append(h.Shards[1:], h.Shards[0])
		overwrite(t, fake, HeadKey, h.Encode())
		assertError[*snapshotter.DigestMismatchError](t, load(t, fake))
	})
	t.Run("a head with too few shards", func(t *testing.T) {
		fake, h := accepted(t)
		h.Shards = h.Shards[1:]
		overwrite(t, fake, HeadKey, h.Encode())
		assertError[*ShardCountError](t, load(t, fake))
	})
	t.Run("a malformed head", func(t *testing.T) {
		fake, _ := accepted(t)
		overwrite(t, fake, HeadKey, []byte("head"))
		assertError[*snapshotter.MalformedError](t, load(t, fake))
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add(EmptyHead().Encode())
	f.Add([]byte{10, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := DecodeHead(data)
		if err != nil {
			return
		}
		again, err := DecodeHead(h.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, again, h)
	})
}
