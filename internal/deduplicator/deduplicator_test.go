package deduplicator

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func begin(t *testing.T, table *Table, now time.Time, key string) (*Entry, Snapshot, bool) {
	t.Helper()
	e, s, isNew, err := table.Begin(now, key, 1)
	assert.NilError(t, err)
	return e, s, isNew
}

func assertState(t *testing.T, table *Table, now time.Time, want State) {
	t.Helper()
	_, s, isNew := begin(t, table, now, "key")
	assert.Assert(t, !isNew)
	assert.Equal(t, s.State, want)
}

func TestTable(t *testing.T) {
	t.Run("a running key becomes done", func(t *testing.T) {
		table := New()
		e, _, isNew := begin(t, table, start, "key")
		assert.Assert(t, isNew)
		assertState(t, table, start, StateRunning)
		e.Complete(start, RecordedAnswer{Status: 200, Body: []byte("ok")})
		assertState(t, table, start, StateDone)
	})
	t.Run("later ends of a key are ignored", func(t *testing.T) {
		table := New()
		e, _, _ := begin(t, table, start, "key")
		e.MarkUnknown(start)
		e.Complete(start, RecordedAnswer{Status: 200})
		e.Forget()
		assertState(t, table, start, StateUnknown)
	})
	t.Run("a running key does not expire", func(t *testing.T) {
		table := New()
		begin(t, table, start, "key")
		assertState(t, table, start.Add(24*time.Hour), StateRunning)
	})
	t.Run("an ended key expires after KeyTTL", func(t *testing.T) {
		table := New()
		e, _, _ := begin(t, table, start, "key")
		e.Complete(start, RecordedAnswer{Status: 200})
		assertState(t, table, start.Add(KeyTTL-time.Second), StateDone)
		_, _, isNew := begin(t, table, start.Add(KeyTTL), "key")
		assert.Assert(t, isNew)
	})
	t.Run("bodies beyond MaxAnswerBytes or MaxTotalBytes are dropped", func(t *testing.T) {
		table := New()
		for i := range MaxTotalBytes/MaxAnswerBytes + 10 {
			e, _, _ := begin(t, table, start, fmt.Sprintf("key-%d", i))
			e.Complete(start, RecordedAnswer{Body: make([]byte, MaxAnswerBytes)})
		}
		assert.Assert(t, table.bodyBytes <= MaxTotalBytes)
		e, _, _ := begin(t, table, start, "key")
		e.Complete(start, RecordedAnswer{Body: make([]byte, MaxAnswerBytes+1)})
		_, s, _ := begin(t, table, start, "key")
		assert.Assert(t, s.Answer.BodyDropped)
		assert.Equal(t, len(s.Answer.Body), 0)
	})
	t.Run("a full table refuses new keys", func(t *testing.T) {
		table := New()
		for i := range MaxKeys {
			begin(t, table, start, fmt.Sprintf("key-%d", i))
		}
		_, _, _, err := table.Begin(start, "key", 1)
		var full *FullError
		assert.Assert(t, errors.As(err, &full))
	})
}

func TestHome(t *testing.T) {
	hosts := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 12, rapid.ID[string])
	t.Run("the order of hosts does not matter", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			list := hosts.Draw(t, "hosts")
			key := rapid.String().Draw(t, "key")
			assert.Equal(t, Home(key, list), Home(key, rapid.Permutation(list).Draw(t, "order")))
		})
	})
	t.Run("a host that leaves moves only its own keys", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			list := hosts.Draw(t, "hosts")
			key := rapid.String().Draw(t, "key")
			home := Home(key, list)
			if list[0] != home {
				assert.Equal(t, Home(key, list[1:]), home)
			}
		})
	})
	t.Run("without hosts there is no home host", func(t *testing.T) { assert.Equal(t, Home("key", nil), "") })
}
