package storer

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Op names a call of the object API.
type Op string

// The calls of the object API.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Fault is what goes wrong with one call.
type Fault string

// The faults of a call.
const (
	// FaultNone lets the call pass.
	FaultNone Fault = ""
	// FaultRefused refuses the call before it has any effect.
	FaultRefused Fault = "refused"
	// FaultAnswerLost loses the answer after a write took effect.
	FaultAnswerLost Fault = "answer-lost"
)

// Faults are the switches of a Fake.
type Faults struct {
	// Outage refuses every call, and ends the watches that wait.
	Outage bool `json:"outage"`
	// DelayMs is how long each call but a watch takes, in milliseconds.
	DelayMs int `json:"delay-ms"`
	// LoseAnswers is how many of the next writes take effect without an answer; negative means all.
	LoseAnswers int `json:"lose-answers"`
	// RefuseWrites is how many of the next writes are refused before any effect; negative means all.
	RefuseWrites int `json:"refuse-writes"`
}

// Rates are the greatest rates of calls; 0 means no limit.
type Rates struct {
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

// Counts are the calls so far. A watch counts as a read when it starts.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches is how many watches have started; they are part of Reads.
	Watches int `json:"watches"`
	// Waiting is how many watches wait now.
	Waiting int `json:"waiting"`
	// Limited is how many calls were refused for their rate.
	Limited int `json:"limited"`
	// ReadBytes and WrittenBytes count values only.
	ReadBytes    int `json:"read-bytes"`
	WrittenBytes int `json:"written-bytes"`
}

// OutageError tells that the Fake was told to be down.
type OutageError struct{}

func (*OutageError) Error() string { return "outage" }

// RateError tells that a call was over the platform's rate.
type RateError struct{ Op Op }

func (e *RateError) Error() string { return fmt.Sprintf("too many calls a second: %s", e.Op) }

// AnswerLostError tells that the Fake was told to lose the answer to a write.
type AnswerLostError struct{}

func (*AnswerLostError) Error() string { return "answer lost" }

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
	return Client{Get: f.get, Put: f.put, Delete: f.remove, List: f.list, Watch: f.watch}
}

// Set replaces the switches. An outage ends the watches that wait.
func (f *Fake) Set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	if !faults.Outage {
		return
	}
	for key := range f.changed {
		f.wake(key)
	}
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

// admit counts a call, waits out the delay and returns the fault to act out.
func (f *Fake) admit(ctx context.Context, op Op, key string) (Fault, error) {
	fault, delay, err := f.decide(op, key)
	if err != nil {
		return FaultNone, err
	}
	if delay == 0 {
		return fault, nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return FaultNone, &UnavailableError{Key: key, Cause: ctx.Err()}
	case <-timer.C:
		return fault, nil
	}
}

func (f *Fake) decide(op Op, key string) (Fault, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	write := op == OpPut || op == OpDelete
	limit := f.reads
	if write {
		limit = f.writes
		f.counts.Writes++
	} else {
		f.counts.Reads++
	}
	if limit != nil && !limit.Allow() {
		f.counts.Limited++
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &RateError{Op: op}}
	}
	if f.faults.Outage {
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &OutageError{}}
	}
	fault := f.fault(op, key, write)
	if fault == FaultRefused {
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &OutageError{}}
	}
	delay := time.Duration(f.faults.DelayMs) * time.Millisecond
	if op == OpWatch {
		delay = 0
	}
	return fault, delay, nil
}

// fault takes the next fault from the switches. f.mu is held.
func (f *Fake) fault(op Op, key string, write bool) Fault {
	if f.Intercept != nil {
		if fault := f.Intercept(op, key); fault != FaultNone {
			return fault
		}
	}
	switch {
	case !write:
		return FaultNone
	case spend(&f.faults.RefuseWrites):
		return FaultRefused
	case spend(&f.faults.LoseAnswers):
		return FaultAnswerLost
	default:
		return FaultNone
	}
}

// spend takes one from a switch that counts down; negative never ends.
func spend(left *int) bool {
	if *left > 0 {
		*left--
		return true
	}
	return *left < 0
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
	f.counts.Waiting++
	defer func() { f.counts.Waiting-- }()
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
