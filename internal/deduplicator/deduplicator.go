// Package deduplicator remembers requests by idempotency key at the node in
// front of the target that runs them. A key is in one of three states: running,
// done with the recorded answer, or of unknown outcome. A request whose key is
// known is not run again:
//
//	e, fresh, err := table.Begin(now, key, fingerprint)
//	if fresh {
//		// run the request, then e.Done, e.Unknown or e.NotRun
//	}
//
// What it holds is lost when the node ends.
package deduplicator

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of a table.
const (
	// Keep is how long a key is remembered after its request has ended.
	KeyTTL = 10 * time.Minute
	// MaxKeys is how many keys are remembered.
	MaxKeys = 20_000
	// MaxAnswerBytes is the size up to which an answer's body is recorded.
	MaxAnswerBytes = 16 << 10
	// MaxTotalBytes bounds the recorded answers together.
	MaxTotalBytes = 8 << 20
	// MaxKeyBytes bounds a key.
	MaxKeyBytes = 255
)

// State tells what is known of a key.
type State string

// The states of a key.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateUnknown State = "unknown"
)

// FullError tells that no further key can be remembered: the request was not run.
type FullError struct{ Keys int }

func (e *FullError) Error() string {
	return fmt.Sprintf("%d idempotency keys are remembered already", e.Keys)
}

// ReusedError tells that the key came before with a different request.
type ReusedError struct{ Key string }

func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q belongs to a different request", e.Key)
}

// Recorded is the answer to a request that ran.
type RecordedAnswer struct {
	Status int
	Header http.Header
	// Body is whole unless BodyDropped.
	Body []byte
	// BodyDropped tells that the body was too large to keep.
	BodyDropped bool
}

// Entry is what is known of one key.
type Entry struct {
	table *Table
	key   string
	// Fingerprint identifies the request that came first with the key.
	fingerprint uint64

	state State
	// answer is set in state "done".
	answer RecordedAnswer
	// expires is when the key is forgotten; zero while running.
	expires time.Time
}

// Table remembers keys. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// entries by key. Guarded by mu.
	entries map[string]*Entry
	// ended holds entries in the order in which they expire. Guarded by mu.
	ended []*Entry
	// bytes of the recorded bodies, at most MaxTotalBytes. Guarded by mu.
	bytes int
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*Entry{}} }

// Snapshot is the state of a key at one moment.
type Snapshot struct {
	State State
	// Answer is set in state "done".
	Answer RecordedAnswer
}

// Begin looks a key up. When the key is fresh it is now running, and the
// caller must end it by one of the entry's methods.
func (t *Table) Begin(now time.Time, key string, fingerprint uint64) (e *Entry, s Snapshot, fresh bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if e := t.entries[key]; e != nil {
		if e.fingerprint != fingerprint {
			return nil, Snapshot{}, false, &ReusedError{Key: key}
		}
		return e, Snapshot{State: e.state, Answer: e.answer}, false, nil
	}
	if len(t.entries) >= MaxKeys {
		return nil, Snapshot{}, false, &FullError{Keys: len(t.entries)}
	}
	e = &Entry{table: t, key: key, fingerprint: fingerprint, state: StateRunning}
	t.entries[key] = e
	return e, Snapshot{State: StateRunning}, true, nil
}

// Find looks a key up without remembering it.
func (t *Table) Find(now time.Time, key string, fingerprint uint64) (s Snapshot, known bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	e := t.entries[key]
	if e == nil {
		return Snapshot{}, false, nil
	}
	if e.fingerprint != fingerprint {
		return Snapshot{}, true, &ReusedError{Key: key}
	}
	return Snapshot{State: e.state, Answer: e.answer}, true, nil
}

// expire forgets the keys whose time has come. The caller holds mu.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && !now.Before(t.ended[n].expires) {
		e := t.ended[n]
		t.bytes -= len(e.answer.Body)
		if t.entries[e.key] == e {
			delete(t.entries, e.key)
		}
		t.ended[n] = nil
		n++
	}
	t.ended = t.ended[n:]
}

// Done records the answer.
func (e *Entry) Complete(now time.Time, a RecordedAnswer) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != StateRunning {
		return
	}
	if len(a.Body) > MaxAnswerBytes || t.bytes+len(a.Body) > MaxTotalBytes {
		a.Body = nil
		a.BodyDropped = true
	}
	t.bytes += len(a.Body)
	e.answer = a
	e.end(now, StateDone)
}

// Unknown records that the request may have run.
func (e *Entry) MarkUnknown(now time.Time) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state == StateRunning {
		e.end(now, StateUnknown)
	}
}

// NotRun forgets the key: the request may be sent again.
func (e *Entry) Forget() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state == StateRunning {
		delete(e.table.entries, e.key)
	}
}

// end settles the state. The caller holds the table's mu.
func (e *Entry) end(now time.Time, s State) {
	e.state = s
	e.expires = now.Add(KeyTTL)
	e.table.ended = append(e.table.ended, e)
}
