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

// Fault is a fault to inject into one call.
type Fault string

// The faults of a call.
const (
	// FaultNone injects no fault.
	FaultNone Fault = ""
	// FaultRefused refuses the call before it has any effect.
	FaultRefused Fault = "refused"
	// FaultAnswerLost loses the answer to a write after the write has been tried.
	FaultAnswerLost Fault = "answer-lost"
)

// Faults are the faults that a Fake injects.
type Faults struct {
	// Outage refuses every call, and ends the waiting calls of Watch and Follow.
	Outage bool `json:"outage"`
	// DelayMs is how long each call except Watch is delayed, in milliseconds.
	DelayMs int `json:"delay-ms"`
	// LoseAnswers is how many of the next writes lose their answer; negative means all.
	LoseAnswers int `json:"lose-answers"`
	// RefuseWrites is how many of the next writes are refused before they have any effect; negative means all.
	RefuseWrites int `json:"refuse-writes"`
}

// Rates are the maximum rates of calls; 0 means no limit.
type Rates struct {
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

// Counts are the numbers of calls so far, refused ones included. A watch counts
// as a read when it starts.
type Counts struct {
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches is how many watches have started to wait; they are part of Reads.
	Watches int `json:"watches"`
	// PendingWatches is how many watches are waiting now.
	PendingWatches int `json:"waiting"`
	// RateLimited is how many calls the rate limits have refused.
	RateLimited int `json:"limited"`
	// ReadBytes counts the values that Get and Watch returned, and WrittenBytes
	// those that Put stored, in bytes.
	ReadBytes    int `json:"read-bytes"`
	WrittenBytes int `json:"written-bytes"`
}

// OutageError reports that the Fake refused a call, as its Faults or its Intercept
// said.
type OutageError struct{}

func (*OutageError) Error() string { return "outage" }

// RateError reports that a call exceeded the rate limit.
type RateError struct{ Op Op }

func (e *RateError) Error() string {
	return fmt.Sprintf("too many calls a second: %s", e.Op)
}

// AnswerLostError reports that the Fake lost the answer to a write on purpose.
type AnswerLostError struct{}

func (*AnswerLostError) Error() string { return "answer lost" }

// startCall counts a call, waits for the delay that is set and returns the fault
// to inject. It returns *UnavailableError when the call is refused, or when ctx
// ends during the delay.
func (f *Fake) startCall(ctx context.Context, op Op, key string) (Fault, error) {
	fault, delay, err := f.chooseFault(op, key)
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

// chooseFault counts a call and returns its fault and delay. It returns
// *UnavailableError when the call is refused.
func (f *Fake) chooseFault(op Op, key string) (Fault, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	isWrite := op == OpPut || op == OpDelete
	limiter := f.readLimiter
	if isWrite {
		limiter = f.writeLimiter
		f.counts.Writes++
	} else {
		f.counts.Reads++
	}
	if limiter != nil && !limiter.Allow() {
		f.counts.RateLimited++
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &RateError{Op: op}}
	}
	if f.faults.Outage {
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &OutageError{}}
	}
	fault := f.nextFault(op, key, isWrite)
	if fault == FaultRefused {
		return FaultNone, 0, &UnavailableError{Key: key, Cause: &OutageError{}}
	}
	delay := time.Duration(f.faults.DelayMs) * time.Millisecond
	if op == OpWatch {
		delay = 0
	}
	return fault, delay, nil
}

// nextFault returns the fault of a call and counts it down. f.mu is held.
func (f *Fake) nextFault(op Op, key string, isWrite bool) Fault {
	if f.Intercept != nil {
		if fault := f.Intercept(op, key); fault != FaultNone {
			return fault
		}
	}
	switch {
	case !isWrite:
		return FaultNone
	case decrement(&f.faults.RefuseWrites):
		return FaultRefused
	case decrement(&f.faults.LoseAnswers):
		return FaultAnswerLost
	default:
		return FaultNone
	}
}

// decrement counts left down to zero and reports whether it was not zero before.
// A negative count stays as it is.
func decrement(left *int) bool {
	if *left > 0 {
		*left--
		return true
	}
	return *left < 0
}
