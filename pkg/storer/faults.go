package storer

import (
	"context"
	"fmt"
	"time"
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
	OpScan   Op = "scan"
	OpFollow Op = "follow"
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
	PendingWatches int `json:"waiting"`
	// Limited is how many calls were refused for their rate.
	RateLimited int `json:"limited"`
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
		f.counts.RateLimited++
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
