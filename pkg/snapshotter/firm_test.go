package snapshotter

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func firm(name string, keys ...string) Firm {
	f := Firm{Name: name, Rate: 100, Burst: 100, Priority: 1}
	for _, k := range keys {
		f.Keys = append(f.Keys, DigestKey(k))
	}
	SortKeys(f.Keys)
	return f
}

func firmName(i int) string { return fmt.Sprintf("firm-%d", i) }

// manyFirms returns a snapshot with firms that have two keys each.
func manyFirms(t *testing.T, count int) *Snapshot {
	t.Helper()
	var c Change
	for i := range count {
		c.Firms = append(c.Firms, firm(firmName(i), fmt.Sprintf("key-%d-a", i), fmt.Sprintf("key-%d-b", i)))
	}
	return mustApply(t, sampleSnapshot(t), 3, c)
}

func assertOwner(t *testing.T, s *Snapshot, key, want string) {
	t.Helper()
	f, ok := KeyOwner(s, key)
	assert.Equal(t, ok, want != "")
	assert.Equal(t, f.Name, want)
}

func TestFirms(t *testing.T) {
	base := manyFirms(t, 3)
	t.Run("each key has one owner", func(t *testing.T) {
		assertOwner(t, base, "key-1-a", "firm-1")
		assertOwner(t, base, "key-2-b", "firm-2")
		assertOwner(t, base, "key-9-a", "")
		assertOwner(t, base, "", "")
	})
	t.Run("a removed key has none", func(t *testing.T) {
		next := mustApply(t, base, 4, Change{Firms: []Firm{firm("firm-1", "key-1-b")}})
		assertOwner(t, next, "key-1-a", "")
		assertOwner(t, next, "key-1-b", "firm-1")
		assertOwner(t, base, "key-1-a", "firm-1")
	})
	t.Run("a firm may be without keys", func(t *testing.T) {
		next := mustApply(t, base, 4, Change{Firms: []Firm{firm("firm-1")}})
		assertOwner(t, next, "key-1-a", "")
	})
	t.Run("a key moves to another firm in one change", func(t *testing.T) {
		next := mustApply(t, base, 4, Change{Firms: []Firm{firm("firm-1", "key-1-b"), firm("firm-2", "key-1-a")}})
		assertOwner(t, next, "key-1-a", "firm-2")
	})
	t.Run("a removed firm leaves a tombstone", func(t *testing.T) {
		next := mustApply(t, base, 4, Change{RemoveFirms: []string{"firm-1"}})
		assertOwner(t, next, "key-1-a", "")
		assert.Equal(t, next.RemovedFirms["firm-1"], uint64(4))
		assertRefused(t, next, 4, Change{Firms: []Firm{firm("firm-1")}},
			RefusedError{Rule: RuleNewerTicket, Resource: "firm firm-1", Ticket: 4})
		again := mustApply(t, next, 5, Change{Firms: []Firm{firm("firm-1", "key-new")}})
		assert.Equal(t, len(again.RemovedFirms), 0)
	})
}

func TestFirmRules(t *testing.T) {
	base := manyFirms(t, 2)
	shared := firm("other", "key-1-a")
	unsorted := firm("other", "a", "b")
	slices.Reverse(unsorted.Keys)
	for name, c := range map[string]struct {
		firm Firm
		want RefusedError
	}{
		"a key of another firm":   {shared, RefusedError{Rule: RuleSharedKey, Resource: "firm other", Field: "keys", Ticket: 3}},
		"keys in another order":   {unsorted, RefusedError{Rule: RuleKeyOrder, Resource: "firm other", Field: "keys"}},
		"a key that stands twice": {firm("other", "a", "a"), RefusedError{Rule: RuleKeyOrder, Resource: "firm other", Field: "keys"}},
		"a malformed name":        {firm("Other"), RefusedError{Rule: RuleName, Resource: "firm Other", Field: "name"}},
		"a negative rate":         {Firm{Name: "other", Rate: -1}, RefusedError{Rule: RuleLimit, Resource: "firm other", Field: "rate"}},
		"too great a burst":       {Firm{Name: "other", Burst: MaxRate + 1}, RefusedError{Rule: RuleLimit, Resource: "firm other", Field: "burst"}},
		"too great a priority":    {Firm{Name: "other", Priority: MaxPriority + 1}, RefusedError{Rule: RuleLimit, Resource: "firm other", Field: "priority"}},
	} {
		t.Run(name, func(t *testing.T) {
			assertRefused(t, base, 9, Change{Firms: []Firm{c.firm}}, c.want)
		})
	}
	t.Run("a missing firm cannot be removed", func(t *testing.T) {
		assertRefused(t, base, 9, Change{RemoveFirms: []string{"nobody"}},
			RefusedError{Rule: RuleMissingResource, Resource: "firm nobody", Field: "remove-firms"})
	})
	t.Run("a whole snapshot is checked as well", func(t *testing.T) {
		s := clone(base)
		s.Firms["other"] = shared
		var refused *RefusedError
		assert.Assert(t, errors.As(Validate(s), &refused))
		assert.Equal(t, refused.Rule, RuleSharedKey)
	})
	t.Run("no refusal shows a key or its digest", func(t *testing.T) {
		_, err := Apply(base, Change{Firms: []Firm{shared, unsorted}}, 9)
		assert.Assert(t, !strings.Contains(err.Error(), "key-1-a"))
		assert.Assert(t, !strings.Contains(err.Error(), shared.Keys[0].String()))
	})
}

// TestDeltaOfOneKey bounds what a change of one key among the firms of a large
// deployment costs each link between nodes.
func TestDeltaOfOneKey(t *testing.T) {
	const firms, maxBytes = 82, 300
	base := manyFirms(t, firms)
	next := mustApply(t, base, 4, Change{Firms: []Firm{firm(firmName(40), "key-40-a", "key-new")}})
	encoded := EncodeDelta(Diff(base, next))
	assert.Assert(t, len(encoded) <= maxBytes, "%d bytes", len(encoded))
	d, err := DecodeDelta(encoded)
	assert.NilError(t, err)
	assert.Equal(t, len(d.Firms), 1)
	patched, err := Patch(base, d)
	assert.NilError(t, err)
	assert.Equal(t, patched.Digest(), next.Digest())
	assertOwner(t, patched, "key-new", firmName(40))
	assertOwner(t, patched, "key-40-b", "")
	before, after := ShardDigests(base), ShardDigests(next)
	changed := 0
	for i := range before {
		if before[i] != after[i] {
			changed++
		}
	}
	assert.Equal(t, changed, 1, "the store holds the other shards already")
}

// TestDiffSeesEachFieldOfFirm guards against a new field of Firm that sameFirm does not
// compare, or that the encoding leaves out.
func TestDiffSeesEachFieldOfFirm(t *testing.T) {
	base := manyFirms(t, 1)
	for i := range reflect.TypeFor[Firm]().NumField() {
		t.Run(reflect.TypeFor[Firm]().Field(i).Name, func(t *testing.T) {
			next := clone(base)
			f := next.Firms["firm-0"]
			v := reflect.ValueOf(&f).Elem().Field(i)
			switch v.Kind() {
			case reflect.String:
				v.SetString("other")
			case reflect.Int:
				v.SetInt(v.Int() + 1)
			case reflect.Uint64:
				v.SetUint(v.Uint() + 1)
			default:
				f.Keys = f.Keys[:1]
			}
			next.Firms["firm-0"] = f
			assert.Equal(t, len(Diff(base, next).Firms), 1)
			assert.Assert(t, next.Digest() != base.Digest())
		})
	}
}

// drawFirms draws firms over a few names and keys, so that keys move and collide.
func drawFirms(t *rapid.T) []Firm {
	var firms []Firm
	name := rapid.SampledFrom([]string{"rocklea", "yatala", "southport"})
	for _, n := range rapid.SliceOfNDistinct(name, 0, 2, rapid.ID).Draw(t, "firms") {
		key := rapid.SampledFrom([]string{n + "-1", n + "-2", n + "-3", "shared"})
		f := firm(n, rapid.SliceOfNDistinct(key, 0, 3, rapid.ID).Draw(t, "keys")...)
		f.Rate, f.Priority = rapid.IntRange(0, 3).Draw(t, "rate"), rapid.IntRange(0, 2).Draw(t, "priority")
		firms = append(firms, f)
	}
	return firms
}
