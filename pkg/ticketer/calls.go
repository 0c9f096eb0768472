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
	// maxCallAttempts limits how often one call is made while the platform does not answer.
	maxCallAttempts = 5
	// minBackoff is the shortest wait before the first retry, and maxBackoff limits every wait.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// backOff waits before the next attempt, with exponential backoff and jitter, so
// that the retries of concurrent operators do not collide again.
func backOff(ctx context.Context, attempt int) error {
	limit := min(minBackoff<<min(attempt, 10), maxBackoff)
	timer := time.NewTimer(limit/2 + rand.N(limit/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// maxParallelCalls limits how many calls one operation makes concurrently.
const maxParallelCalls = 8

func runParallel(tasks []func() error) error {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, task := range tasks {
		group.Go(task)
	}
	return group.Wait()
}

// isUnanswered reports whether the platform did not take or answer a call, so that a retry may succeed.
func isUnanswered(err error) bool {
	var (
		unavailable *storer.UnavailableError
		unknown     *storer.UnknownOutcomeError
	)
	return errors.As(err, &unavailable) || errors.As(err, &unknown)
}

func isConflict(err error) bool {
	var conflict *storer.ConflictError
	return errors.As(err, &conflict)
}

func isNotFound(err error) bool {
	var missing *storer.NotFoundError
	return errors.As(err, &missing)
}

// get reads an object. It retries while the platform does not answer.
func (t *Ticketer) get(ctx context.Context, key string) (storer.Object, error) {
	for attempt := 1; ; attempt++ {
		obj, err := t.Store.Get(ctx, key)
		if err == nil || !isUnanswered(err) || attempt == maxCallAttempts {
			return obj, err
		}
		if t.Backoff(ctx, attempt) != nil {
			return obj, err
		}
	}
}

// conditionalWrite is an update of an object that takes effect only at the given revision.
type conditionalWrite struct {
	key      string
	value    []byte
	revision uint64
	// isOwn reports whether a stored value was written by this update or builds on it.
	isOwn func(value []byte) bool
}

// put performs a write and retries it while the platform does not answer. The
// update is conditional on the revision, so a retry cannot take effect twice.
// Once an answer was lost, the first attempt may have caused a conflict, so put
// reads the object back. It returns *storer.ConflictError if another write came
// first, and *storer.UnknownOutcomeError if the outcome could not be determined.
func (t *Ticketer) put(ctx context.Context, w conditionalWrite) error {
	answerLost := false
	for attempt := 1; ; attempt++ {
		_, err := t.Store.Put(ctx, w.key, w.value, w.revision)
		var (
			conflict *storer.ConflictError
			unknown  *storer.UnknownOutcomeError
		)
		if err == nil {
			return nil
		}
		answerLost = answerLost || errors.As(err, &unknown)
		if errors.As(err, &conflict) && !answerLost {
			return err
		}
		if answerLost {
			applied, err := t.resolveWrite(ctx, w)
			if applied || err != nil {
				return err
			}
		} else if !isUnanswered(err) {
			return eris.Wrap(err, w.key)
		}
		if attempt == maxCallAttempts || t.Backoff(ctx, attempt) != nil {
			return w.exhausted(answerLost, err)
		}
	}
}

// exhausted returns the error of a write whose attempts are used up.
func (w conditionalWrite) exhausted(answerLost bool, err error) error {
	if answerLost {
		return &storer.UnknownOutcomeError{Key: w.key, Cause: err}
	}
	return err
}

// resolveWrite reads the object back after a lost answer. It returns true if the
// write took effect, false if it has not yet, and *storer.ConflictError if it
// never will.
func (t *Ticketer) resolveWrite(ctx context.Context, w conditionalWrite) (bool, error) {
	obj, err := t.get(ctx, w.key)
	switch {
	case isNotFound(err):
		obj = storer.Object{}
	case err != nil:
		return false, &storer.UnknownOutcomeError{Key: w.key, Cause: err}
	}
	if obj.Revision != 0 && w.isOwn(obj.Value) {
		return true, nil
	}
	if obj.Revision == w.revision {
		return false, nil
	}
	return false, &storer.ConflictError{Key: w.key, Expected: w.revision, Actual: obj.Revision}
}
