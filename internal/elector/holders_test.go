package elector

import (
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/storer"
)

func TestHolders(t *testing.T) {
	client := storer.NewFake().Client()
	store := func(key, host string) {
		value, err := encodeRecord(Record{Host: host, Address: host + ":1"})
		assert.NilError(t, err)
		_, err = client.Put(t.Context(), key, value, 0)
		assert.NilError(t, err)
	}
	store(Key("reyk-a", 0), "reyk-a-1")
	store(Key("reyk-a", 2), "reyk-a-3")
	store(Key("hafn-c", 1), "hafn-c-2")
	_, err := client.Put(t.Context(), Key("hafn-c", 0), []byte("no lease"), 0)
	assert.NilError(t, err)

	t.Run("one data centre, without free and malformed slots", func(t *testing.T) {
		held, err := ReadHolders(t.Context(), client, "hafn-c")
		assert.NilError(t, err)
		assert.Equal(t, len(held), 1)
		assert.Equal(t, held[0].Host, "hafn-c-2")
	})
	t.Run("all data centres", func(t *testing.T) {
		held, err := ReadAllHolders(t.Context(), client)
		assert.NilError(t, err)
		assert.Equal(t, len(held), 2)
		assert.Equal(t, len(held["reyk-a"]), 2)
	})
}
