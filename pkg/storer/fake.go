package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// Fake is an in-memory implementation of the object API that can inject faults.
// Tests use it directly, and the platform stand-in serves it over HTTP. It works
// under testing/synctest.
type Fake struct {
	// Intercept, when set, chooses the fault of each call; FaultNone leaves the
	// choice to the Faults that are set. It must not call the Fake.
	Intercept func(op Op, key string) Fault

	mu      sync.Mutex
	objects map[string]Object
	// deletedRevisions holds the last revision of each deleted key, so that
	// revisions never repeat.
	deletedRevisions map[string]uint64
	// history holds every change of the store; the revision of the store is the
	// number of changes. Follow no longer returns those up to compactedRevision.
	// Guarded by mu.
	history           []change
	compactedRevision uint64
	// era counts the restores, from firstEra. Guarded by mu.
	era uint64
	// storeChanged is closed by the next change of the store; nil when no Follow
	// waits. Guarded by mu.
	storeChanged chan struct{}
	// keyChanged holds a channel for each key that a Watch waits for. It is closed
	// and removed when the key is written.
	keyChanged   map[string]chan struct{}
	faults       Faults
	counts       Counts
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

// NewFake returns an empty store without faults or limits.
func NewFake() *Fake {
	return &Fake{
		era:              firstEra,
		objects:          map[string]Object{},
		deletedRevisions: map[string]uint64{},
		keyChanged:       map[string]chan struct{}{},
	}
}

// Client returns a client of the store.
func (f *Fake) Client() Client {
	return Client{
		Get: f.get, Put: f.put, Delete: f.remove, List: f.list, Watch: f.watch, Scan: f.scan, Follow: f.follow,
	}
}

// SetFaults replaces the faults to inject. An outage ends the waiting calls of
// Watch and Follow with *UnavailableError.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if !faults.Outage {
		return
	}
	for key := range f.keyChanged {
		f.wakeWatches(key)
	}
	f.wakeFollows()
}

// Faults returns the faults that are left to inject.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// SetRates sets the rate limits. Bursts of up to a tenth of a second's calls, at
// least one, are allowed.
func (f *Fake) SetRates(r Rates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readLimiter = newLimiter(r.ReadsPerSecond)
	f.writeLimiter = newLimiter(r.WritesPerSecond)
}

func newLimiter(callsPerSecond int) *rate.Limiter {
	if callsPerSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(callsPerSecond), max(1, callsPerSecond/10))
}

// Counts returns the counts of the calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Dump returns every object in key order, without counting as a call.
func (f *Fake) Dump() []Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Object, 0, len(f.objects))
	for _, key := range slices.Sorted(maps.Keys(f.objects)) {
		list = append(list, f.objects[key])
	}
	return list
}

// wakeWatches wakes the watches that wait for a key. f.mu is held.
func (f *Fake) wakeWatches(key string) {
	if ch := f.keyChanged[key]; ch != nil {
		close(ch)
		delete(f.keyChanged, key)
	}
}

func (f *Fake) get(ctx context.Context, key string) (Object, error) {
	if _, err := f.startCall(ctx, OpGet, key); err != nil {
		return Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	obj, ok := f.objects[key]
	if !ok {
		return Object{}, &NotFoundError{Key: key}
	}
	f.counts.ReadBytes += len(obj.Value)
	return obj, nil
}

func (f *Fake) put(ctx context.Context, key string, value []byte, revision uint64) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, &TooLargeError{Key: key, Bytes: len(value)}
	}
	fault, err := f.startCall(ctx, OpPut, key)
	if err != nil {
		return Object{}, err
	}
	obj, err := f.writeObject(key, value, revision)
	if fault == FaultAnswerLost {
		return Object{}, &UnknownOutcomeError{Key: key, Cause: &AnswerLostError{}}
	}
	return obj, err
}

func (f *Fake) writeObject(key string, value []byte, revision uint64) (Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.objects[key]
	if old.Revision != revision {
		return Object{}, &ConflictError{Key: key, Expected: revision, Actual: old.Revision}
	}
	obj := Object{Key: key, Value: slices.Clone(value), Revision: max(old.Revision, f.deletedRevisions[key]) + 1}
	f.objects[key] = obj
	f.counts.WrittenBytes += len(value)
	f.record(change{key: key})
	f.wakeWatches(key)
	return obj, nil
}

func (f *Fake) remove(ctx context.Context, key string, revision uint64) error {
	fault, err := f.startCall(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	err = f.deleteObject(key, revision)
	if fault == FaultAnswerLost {
		return &UnknownOutcomeError{Key: key, Cause: &AnswerLostError{}}
	}
	return err
}

func (f *Fake) deleteObject(key string, revision uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.objects[key]
	if !ok {
		return &NotFoundError{Key: key}
	}
	if old.Revision != revision {
		return &ConflictError{Key: key, Expected: revision, Actual: old.Revision}
	}
	delete(f.objects, key)
	f.deletedRevisions[key] = old.Revision
	f.record(change{key: key, removed: true})
	return nil
}

func (f *Fake) list(ctx context.Context, prefix string) ([]Object, error) {
	if _, err := f.startCall(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []Object{}
	for _, key := range slices.Sorted(maps.Keys(f.objects)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, Object{Key: key, Revision: f.objects[key].Revision})
		}
	}
	return list, nil
}

func (f *Fake) watch(ctx context.Context, key string, after uint64) (Object, error) {
	if _, err := f.startCall(ctx, OpWatch, key); err != nil {
		return Object{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Watches++
	f.counts.PendingWatches++
	defer func() { f.counts.PendingWatches-- }()
	for {
		if f.faults.Outage {
			return Object{}, &UnavailableError{Key: key, Cause: &OutageError{}}
		}
		if obj := f.objects[key]; obj.Revision > after {
			f.counts.ReadBytes += len(obj.Value)
			return obj, nil
		}
		if err := f.waitForKey(ctx, key); err != nil {
			return Object{}, err
		}
	}
}

// waitForKey returns when the key is written, an outage begins or ctx ends. f.mu
// is held before and after, and released while it waits.
func (f *Fake) waitForKey(ctx context.Context, key string) error {
	ch := f.keyChanged[key]
	if ch == nil {
		ch = make(chan struct{})
		f.keyChanged[key] = ch
	}
	f.mu.Unlock()
	defer f.mu.Lock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-ch:
		return nil
	}
}
