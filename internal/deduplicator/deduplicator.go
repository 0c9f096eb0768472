// Package deduplicator remembers requests by idempotency key at the node in
// front of the target that runs them. A key is in one of three states: running,
// done with the recorded answer, or of unknown outcome. A request whose key is
// known is not run again:
//
//	e, snapshot, isNew, err := table.Begin(now, key, fingerprint)
//	if isNew {
//		// run the request, then e.Complete, e.MarkUnknown or e.Forget
//	}
//
// The keys are held in memory and lost when the node stops.
package deduplicator

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of a table.
const (
	// KeyTTL is how long a key is remembered after its request has ended.
	KeyTTL = 10 * time.Minute
	// MaxKeys bounds the number of remembered keys.
	MaxKeys = 20_000
	// MaxAnswerBytes is the largest body of an answer that is recorded.
	MaxAnswerBytes = 16 << 10
	// MaxTotalBytes bounds the total size of the recorded bodies.
	MaxTotalBytes = 8 << 20
	// MaxKeyBytes bounds the length of a key.
	MaxKeyBytes = 255
)

// State is the state of a key.
type State string

// The states of a key.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateUnknown State = "unknown"
)

// FullError reports that no further key can be remembered. The request was not run.
type FullError struct{ Keys int }

func (e *FullError) Error() string {
	return fmt.Sprintf("idempotency key table is full: it holds %d keys", e.Keys)
}

// ReusedError reports that the key was already used for a different request.
type ReusedError struct{ Key string }

func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q belongs to a different request", e.Key)
}

// RecordedAnswer is the answer to a request that ran.
type RecordedAnswer struct {
	Status int
	Header http.Header
	// Body is the complete body, or nil if BodyDropped is set.
	Body []byte
	// BodyDropped reports whether the body was too large to record, alone or together
	// with the bodies already recorded.
	BodyDropped bool
}

// Entry is the record of one key.
type Entry struct {
	table *Table
	key   string
	// fingerprint identifies the first request that used the key.
	fingerprint uint64

	state State
	// answer is set in state "done".
	answer RecordedAnswer
	// expiresAt is when the key is forgotten; zero while running.
	expiresAt time.Time
}

// Table remembers keys. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// entries is keyed by idempotency key. Guarded by mu.
	entries map[string]*Entry
	// ended holds the entries of ended requests in the order in which they expire.
	// Guarded by mu.
	ended []*Entry
	// bodyBytes is the total size of the recorded bodies, at most MaxTotalBytes.
	// Guarded by mu.
	bodyBytes int
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*Entry{}} }

// Snapshot is the state of a key at one moment.
type Snapshot struct {
	State State
	// Answer is set in state "done".
	Answer RecordedAnswer
}

// Begin looks up a key. If isNew is true, the key is now in state running, and the
// caller must end it by one of the entry's methods.
func (t *Table) Begin(now time.Time, key string, fingerprint uint64) (e *Entry, s Snapshot, isNew bool, err error) {
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

// Find looks up a key without recording it.
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

// expire removes the entries that have expired. The caller holds mu.
func (t *Table) expire(now time.Time) {
	n := 0
	for n < len(t.ended) && !now.Before(t.ended[n].expiresAt) {
		e := t.ended[n]
		t.bodyBytes -= len(e.answer.Body)
		if t.entries[e.key] == e {
			delete(t.entries, e.key)
		}
		t.ended[n] = nil
		n++
	}
	t.ended = t.ended[n:]
}

// Complete records the answer of a running request.
func (e *Entry) Complete(now time.Time, a RecordedAnswer) {
	t := e.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.state != StateRunning {
		return
	}
	if len(a.Body) > MaxAnswerBytes || t.bodyBytes+len(a.Body) > MaxTotalBytes {
		a.Body = nil
		a.BodyDropped = true
	}
	t.bodyBytes += len(a.Body)
	e.answer = a
	e.end(now, StateDone)
}

// MarkUnknown records that a running request ended with an unknown outcome: it may
// have run.
func (e *Entry) MarkUnknown(now time.Time) {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state == StateRunning {
		e.end(now, StateUnknown)
	}
}

// Forget removes the key of a running request that was not run, so that it may be
// sent again.
func (e *Entry) Forget() {
	e.table.mu.Lock()
	defer e.table.mu.Unlock()
	if e.state == StateRunning {
		delete(e.table.entries, e.key)
	}
}

// end sets the final state and the expiry. The caller holds the table's mu.
func (e *Entry) end(now time.Time, s State) {
	e.state = s
	e.expiresAt = now.Add(KeyTTL)
	e.table.ended = append(e.table.ended, e)
}
