package storer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// Fake is the object API in memory, with switches for its faults. Tests use
// it directly, and the platform stand-in serves it over HTTP. It works under
// testing/synctest.
type Fake struct {
	// Intercept, when set, chooses the fault of each call. It must not call the Fake.
	Intercept func(op Op, key string) Fault

	mu      sync.Mutex
	objects map[string]Object
	// deleted holds the last revision of deleted keys, so that revisions never repeat.
	deleted map[string]uint64
	// history holds every change of the store; the revision of the store is the
	// number of changes. Those up to compacted are no longer told. Guarded by mu.
	history   []change
	compacted uint64
	// grown is closed with the next change of the store; nil when nobody waits. Guarded by mu.
	grown chan struct{}
	// changed is closed and replaced when the key is written.
	changed map[string]chan struct{}
	faults  Faults
	counts  Counts
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// NewFake returns an empty store without faults or limits.
func NewFake() *Fake {
	return &Fake{
		objects: map[string]Object{},
		deleted: map[string]uint64{},
		changed: map[string]chan struct{}{},
	}
}

// Client returns the calls of the store.
func (f *Fake) Client() Client {
	return Client{
		Get: f.get, Put: f.put, Delete: f.remove, List: f.list, Watch: f.watch, Scan: f.scan, Follow: f.follow,
	}
}

// Set replaces the switches. An outage ends the watches that wait.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if !faults.Outage {
		return
	}
	for key := range f.changed {
		f.wake(key)
	}
	f.wakeFollowers()
}

// Faults returns the switches as they are.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// SetRates sets the limits. Bursts of a tenth of a second's calls pass.
func (f *Fake) SetRates(r Rates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads = limiter(r.ReadsPerSecond)
	f.writes = limiter(r.WritesPerSecond)
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/10))
}

// Counts returns the calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Dump returns every object in key order, without counting.
func (f *Fake) Dump() []Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]Object, 0, len(f.objects))
	for _, key := range slices.Sorted(maps.Keys(f.objects)) {
		list = append(list, f.objects[key])
	}
	return list
}

// wake ends the waits on a key. f.mu is held.
func (f *Fake) wake(key string) {
	if ch := f.changed[key]; ch != nil {
		close(ch)
		delete(f.changed, key)
	}
}

func (f *Fake) get(ctx context.Context, key string) (Object, error) {
	if _, err := f.admit(ctx, OpGet, key); err != nil {
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
	fault, err := f.admit(ctx, OpPut, key)
	if err != nil {
		return Object{}, err
	}
	obj, err := f.write(key, value, revision)
	if fault == FaultAnswerLost {
		return Object{}, &UnknownOutcomeError{Key: key, Cause: &AnswerLostError{}}
	}
	return obj, err
}

func (f *Fake) write(key string, value []byte, revision uint64) (Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.objects[key]
	if old.Revision != revision {
		return Object{}, &ConflictError{Key: key, Expected: revision, Actual: old.Revision}
	}
	obj := Object{Key: key, Value: slices.Clone(value), Revision: max(old.Revision, f.deleted[key]) + 1}
	f.objects[key] = obj
	f.counts.WrittenBytes += len(value)
	f.record(change{key: key})
	f.wake(key)
	return obj, nil
}

func (f *Fake) remove(ctx context.Context, key string, revision uint64) error {
	fault, err := f.admit(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	err = f.erase(key, revision)
	if fault == FaultAnswerLost {
		return &UnknownOutcomeError{Key: key, Cause: &AnswerLostError{}}
	}
	return err
}

func (f *Fake) erase(key string, revision uint64) error {
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
	f.deleted[key] = old.Revision
	f.record(change{key: key, removed: true})
	return nil
}

func (f *Fake) list(ctx context.Context, prefix string) ([]Object, error) {
	if _, err := f.admit(ctx, OpList, prefix); err != nil {
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
	if _, err := f.admit(ctx, OpWatch, key); err != nil {
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
		if err := f.wait(ctx, key); err != nil {
			return Object{}, err
		}
	}
}

// wait returns when the key is written or an outage begins. f.mu is held before and after.
func (f *Fake) wait(ctx context.Context, key string) error {
	ch := f.changed[key]
	if ch == nil {
		ch = make(chan struct{})
		f.changed[key] = ch
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
