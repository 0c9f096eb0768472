package storer_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/platformer"
	"gentianbarrow.example/pkg/storer"
)

func assertError[T error](t *testing.T, err error) {
	t.Helper()
	var target T
	assert.Assert(t, errors.As(err, &target), "%T: %v", err, err)
}

// forEachClient runs a test with a client in memory and with one over HTTP.
func forEachClient(t *testing.T, run func(t *testing.T, fake *storer.Fake, client storer.Client)) {
	t.Helper()
	t.Run("in memory", func(t *testing.T) {
		fake := storer.NewFake()
		run(t, fake, fake.Client())
	})
	t.Run("over HTTP", func(t *testing.T) {
		fake := storer.NewFake()
		server := httptest.NewServer(platformer.New(fake).Handler())
		defer server.Close()
		run(t, fake, storer.NewHTTPClient(server.URL))
	})
}

func TestConditionalUpdates(t *testing.T) {
	forEachClient(t, func(t *testing.T, _ *storer.Fake, client storer.Client) {
		ctx := t.Context()
		_, err := client.Get(ctx, "a/b")
		assertError[*storer.NotFoundError](t, err)
		first, err := client.Put(ctx, "a/b", []byte("one"), 0)
		assert.NilError(t, err)
		_, err = client.Put(ctx, "a/b", []byte("two"), 0)
		assert.DeepEqual(t, err, error(&storer.ConflictError{Key: "a/b", Expected: 0, Actual: first.Revision}))
		second, err := client.Put(ctx, "a/b", []byte("two"), first.Revision)
		assert.NilError(t, err)
		got, err := client.Get(ctx, "a/b")
		assert.NilError(t, err)
		assert.DeepEqual(t, got, storer.Object{Key: "a/b", Value: []byte("two"), Revision: second.Revision})
		assertError[*storer.ConflictError](t, client.Delete(ctx, "a/b", first.Revision))
		assert.NilError(t, client.Delete(ctx, "a/b", second.Revision))
		again, err := client.Put(ctx, "a/b", nil, 0)
		assert.NilError(t, err)
		assert.Assert(t, again.Revision > second.Revision)
	})
}

func TestList(t *testing.T) {
	forEachClient(t, func(t *testing.T, _ *storer.Fake, client storer.Client) {
		for _, key := range []string{"b/2", "b/1", "a/1"} {
			_, err := client.Put(t.Context(), key, []byte("x"), 0)
			assert.NilError(t, err)
		}
		got, err := client.List(t.Context(), "b/")
		assert.NilError(t, err)
		assert.DeepEqual(t, got, []storer.Object{{Key: "b/1", Revision: 1}, {Key: "b/2", Revision: 1}})
	})
}

func TestFaults(t *testing.T) {
	forEachClient(t, func(t *testing.T, fake *storer.Fake, client storer.Client) {
		ctx := t.Context()
		fake.SetFaults(storer.Faults{RefuseWrites: 1, LoseAnswers: 1})
		_, err := client.Put(ctx, "a", []byte("refused"), 0)
		assertError[*storer.UnavailableError](t, err)
		_, err = client.Get(ctx, "a")
		assertError[*storer.NotFoundError](t, err)
		_, err = client.Put(ctx, "a", []byte("lost"), 0)
		assertError[*storer.UnknownOutcomeError](t, err)
		got, err := client.Get(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, string(got.Value), "lost")
		fake.SetFaults(storer.Faults{Outage: true})
		_, err = client.Get(ctx, "a")
		assertError[*storer.UnavailableError](t, err)
		_, err = client.Put(ctx, "a", nil, got.Revision)
		assertError[*storer.UnavailableError](t, err)
		_, err = client.Put(ctx, "a", make([]byte, storer.MaxValueBytes+1), got.Revision)
		assertError[*storer.TooLargeError](t, err)
	})
}

func TestRates(t *testing.T) {
	forEachClient(t, func(t *testing.T, fake *storer.Fake, client storer.Client) {
		fake.SetRates(storer.Rates{ReadsPerSecond: 1})
		_, err := client.Get(t.Context(), "a")
		assertError[*storer.NotFoundError](t, err)
		_, err = client.Get(t.Context(), "a")
		assertError[*storer.UnavailableError](t, err)
		assert.Equal(t, fake.Counts().RateLimited, 1)
	})
}

func TestWatch(t *testing.T) {
	forEachClient(t, func(t *testing.T, fake *storer.Fake, client storer.Client) {
		first, err := client.Put(t.Context(), "a", []byte("one"), 0)
		assert.NilError(t, err)
		got, err := client.Watch(t.Context(), "a", storer.AnyRevision)
		assert.NilError(t, err)
		assert.Equal(t, got.Revision, first.Revision)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = client.Watch(ctx, "a", first.Revision)
		assert.Assert(t, errors.Is(err, context.Canceled))
		fake.SetFaults(storer.Faults{Outage: true})
		_, err = client.Watch(t.Context(), "a", first.Revision)
		assertError[*storer.UnavailableError](t, err)
	})
}

func TestUnreachable(t *testing.T) {
	server := httptest.NewServer(nil)
	server.Close()
	client := storer.NewHTTPClient(server.URL)
	_, err := client.Put(t.Context(), "a", nil, 0)
	assertError[*storer.UnavailableError](t, err)
	_, err = client.Get(t.Context(), "a")
	assertError[*storer.UnavailableError](t, err)
}
