package ticketer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/pkg/storer"
)

const (
	// callAttempts bounds how often one call is made while the platform does not answer.
	callAttempts = 5
	firstPause   = 100 * time.Millisecond
	longestPause = 2 * time.Second
)

// pause waits before the next attempt, longer each time and jittered, so that
// operators who meet do not meet again.
func pause(ctx context.Context, attempt int) error {
	limit := min(firstPause<<min(attempt, 10), longestPause)
	timer := time.NewTimer(limit/2 + rand.N(limit/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// parallelCalls bounds how many calls one operation makes at once.
const parallelCalls = 8

func parallel(tasks []func() error) error {
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, task := range tasks {
		group.Go(task)
	}
	return group.Wait()
}

// silent tells whether a call may be answered when it is made again.
func silent(err error) bool {
	var (
		unavailable *storer.UnavailableError
		unknown     *storer.UnknownOutcomeError
	)
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

func conflicts(err error) bool {
	var conflict *storer.ConflictError
	return errors.As(err, &conflict)
}

func notFound(err error) bool {
	var missing *storer.NotFoundError
	return errors.As(err, &missing)
}

// get reads an object, again while the platform does not answer.
func (t *Ticketer) get(ctx context.Context, key string) (storer.Object, error) {
	for attempt := 1; ; attempt++ {
		obj, err := t.Store.Get(ctx, key)
		if err == nil || !silent(err) || attempt == callAttempts {
			return obj, err
		}
		if t.Pause(ctx, attempt) != nil {
			return obj, err
		}
	}
}

// write is one conditional update whose outcome is always settled.
type write struct {
	key      string
	value    []byte
	revision uint64
	// mine tells whether a stored value came from this write.
	mine func(value []byte) bool
}

// put carries out a write. The update is conditional on the revision, so
// repeating it cannot take effect twice; once an answer was lost, a conflict
// may come from this very write, and is settled by reading the object back.
// It returns *storer.ConflictError when another write came first, and
// *storer.UnknownOutcomeError when that could not be found out.
func (t *Ticketer) put(ctx context.Context, w write) error {
	lost := false
	for attempt := 1; ; attempt++ {
		_, err := t.Store.Put(ctx, w.key, w.value, w.revision)
		var (
			conflict *storer.ConflictError
			unknown  *storer.UnknownOutcomeError
		)
		if err == nil {
			return nil
		}
		lost = lost || errors.As(err, &unknown)
		if errors.As(err, &conflict) && !lost {
			return err
		}
		if lost {
			settled, err := t.settleWrite(ctx, w)
			if settled || err != nil {
				return err
			}
		} else if !silent(err) {
			return eris.Wrap(err, w.key)
		}
		if attempt == callAttempts || t.Pause(ctx, attempt) != nil {
			return w.unsettled(lost, err)
		}
	}
}

// unsettled is the outcome when the attempts are used up.
func (w write) unsettled(lost bool, err error) error {
	if lost {
		return &storer.UnknownOutcomeError{Key: w.key, Cause: err}
	}
	return err
}

// settleWrite reads back after a lost answer. It returns true when the write
// took effect, false when it has not, and *storer.ConflictError when it never will.
func (t *Ticketer) settleWrite(ctx context.Context, w write) (bool, error) {
	obj, err := t.get(ctx, w.key)
	switch {
	case notFound(err):
		obj = storer.Object{}
	case err != nil:
		return false, &storer.UnknownOutcomeError{Key: w.key, Cause: err}
	}
	if obj.Revision != 0 && w.mine(obj.Value) {
		return true, nil
	}
	if obj.Revision == w.revision {
		return false, nil
	}
	return false, &storer.ConflictError{Key: w.key, Expected: w.revision, Actual: obj.Revision}
}
