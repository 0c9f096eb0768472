// Package executor runs requests on the target of this host. The node in front
// of a target is the only way to it, so what the executor refuses does not run:
// it checks the target's phase, looks up the idempotency key, waits for a slot
// and only then dispatches.
package executor

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/snapshotter"
)

// newHomeTime is how long a target that has become ready takes no new
// idempotency keys: by then all nodes know of it and ask it, or ask for it.
const newHomeTime = 5 * time.Second

// keyRunningRetry is when a caller may ask again for a key whose request runs.
const keyRunningRetry = 1 * time.Second

// Config holds what an executor needs.
type Config struct {
	// Host is this node's own.
	Host string
	// Target returns the target of this host.
	Target func() blackboard.Target
	// Service returns the running configuration of a service.
	Service func(name string) (snapshotter.Service, bool)
	Client  dispatcher.Client
	// Observe is told of each request that held a slot; nil means nobody.
	Observe func(r *exchanger.Request, queued, served time.Duration)
	// Blame is how long a target must have held a request that ran into its
	// deadline to be blamed for it; 0 means the time of this package.
	BlameAfter time.Duration
	// FixedSlots and NoRamp are passed on to the limits of the target.
	FixedSlots, NoRamp bool
	// Order of waiting requests; empty means that of the limiter.
	Order limiter.Order
	// Log is told of each request that does not get to the target.
	Log *logger.Logger
	// Mistaken is told the id of the process that answered in place of the expected one; nil means nobody.
	ReportWrongTarget func(targetID string)
	// Judge is told what a finished request showed of the target; nil means nobody.
	ReportHealth func(good bool)
}

// Executor runs requests on one target.
type Executor struct {
	cfg  Config
	keys *deduplicator.Table

	mu sync.Mutex
	// waiter admits requests to the target of service. Guarded by mu.
	waiter  *limiter.SyncGate
	service string
	limits  limiter.Limits
	// draining and readySince were last told to the waiter. Guarded by mu.
	draining   bool
	readySince time.Time
}

// New returns an executor.
func New(cfg Config) *Executor {
	if cfg.BlameAfter == 0 {
		cfg.BlameAfter = heldLong
	}
	return &Executor{cfg: cfg, keys: deduplicator.New()}
}

// Execute runs the request on the target. The answer must be closed.
func (e *Executor) Execute(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
	if r.LookupOnly {
		return e.Refuse(r, exchanger.ReasonKeyNotHere)
	}
	t := e.cfg.Target()
	if reason := refusal(t, r.Service, time.Now()); reason != exchanger.ReasonNone {
		e.notAdmitted(t, r, reason)
		return e.Refuse(r, reason)
	}
	if !keyed(r) {
		return e.stamp(e.admit(ctx, t, r, nil))
	}
	if takesKeys := t.ReadySince.Add(newHomeTime); time.Now().Before(takesKeys) {
		a := e.Refuse(r, exchanger.ReasonKeyHomeNew)
		if a.Reason == exchanger.ReasonKeyHomeNew {
			a.RetryAt = takesKeys
		}
		return a
	}
	entry, known, fresh, err := e.keys.Begin(time.Now(), r.IdempotencyKey, fingerprint(r))
	if err != nil {
		return e.stamp(exchanger.NotRun(keyRefusal(err), err))
	}
	if !fresh {
		return e.stamp(recall(known))
	}
	return e.stamp(e.admit(ctx, t, r, entry))
}

// Refuse answers a request that is not to be run: with what is known of its
// idempotency key, else with "not-run" and the reason.
func (e *Executor) Refuse(r *exchanger.Request, reason exchanger.Reason) *exchanger.Answer {
	if !keyed(r) {
		return e.stamp(exchanger.NotRun(reason, nil))
	}
	known, ok, err := e.keys.Find(time.Now(), r.IdempotencyKey, fingerprint(r))
	switch {
	case err != nil:
		return e.stamp(exchanger.NotRun(keyRefusal(err), err))
	case ok:
		return e.stamp(recall(known))
	default:
		return e.stamp(exchanger.NotRun(reason, nil))
	}
}

// keyed tells that an idempotency key protects the request.
func keyed(r *exchanger.Request) bool { return r.IdempotencyKey != "" && !r.Idempotent }

// refusal tells why the target takes no request of the service now.
func refusal(t blackboard.Target, service string, now time.Time) exchanger.Reason {
	switch {
	case t.Record.Phase == "" || t.Record.Phase == blackboard.TargetNone:
		return exchanger.ReasonNoTarget
	case t.Record.Service != service:
		return exchanger.ReasonWrongTarget
	case t.Record.Phase == blackboard.TargetDraining:
		return exchanger.ReasonTargetDraining
	case t.Record.Phase == blackboard.TargetFailed:
		return exchanger.ReasonTargetFailed
	case !t.ExpiresAt.IsZero() && !now.Before(t.ExpiresAt):
		return exchanger.ReasonTargetFailed
	default:
		return exchanger.ReasonNone
	}
}

// fingerprint tells requests with one key apart. The body is not part of it.
func fingerprint(r *exchanger.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Path, r.Service, r.Firm} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func keyRefusal(err error) exchanger.Reason {
	var reused *deduplicator.ReusedError
	if errors.As(err, &reused) {
		return exchanger.ReasonKeyReused
	}
	return exchanger.ReasonKeyTableFull
}

// admit waits for a slot and runs the request.
func (e *Executor) admit(ctx context.Context, t blackboard.Target, r *exchanger.Request, entry *deduplicator.Entry) *exchanger.Answer {
	arrived := time.Now()
	waiter := e.sync(t)
	if waiter == nil {
		forget(entry)
		return exchanger.NotRun(exchanger.ReasonNoConfig, nil)
	}
	release, err := waiter.Acquire(ctx, limiter.Request{
		Class: r.Class, Firm: r.Firm, Deadline: r.Deadline, Priority: r.Priority, SoftDeadline: r.SoftDeadline, Route: r.Route, NoWait: r.NoWait,
	})
	if err != nil {
		forget(entry)
		a := refused(err)
		e.notAdmitted(t, r, a.Reason)
		return a
	}
	started := time.Now()
	r.TargetID = t.ID
	a := e.cfg.Client.Dispatch(ctx, t.Address, r)
	if a.Reason == exchanger.ReasonWrongTarget && e.cfg.ReportWrongTarget != nil {
		e.cfg.ReportWrongTarget(a.TargetID)
	}
	x := &exchange{
		executor: e, request: r, release: release, entry: entry, arrived: arrived, started: started,
		gone: func() bool { return ctx.Err() != nil },
	}
	x.track(a)
	return a
}

// notAdmitted logs what a refusal was decided on.
func (e *Executor) notAdmitted(t blackboard.Target, r *exchanger.Request, reason exchanger.Reason) {
	load, _ := e.Load()
	now := time.Now()
	e.cfg.Log.WriteRequest(logger.RequestNotAdmitted, logger.Fields{
		RequestID: r.ID, Service: r.Service, Route: r.Route, Reason: string(reason), Version: r.ConfigVersion, Target: t.ID,
		Load: fmt.Sprintf("%d running, %d waiting, %d slots, %s a request; %s, announced %s ago", load.InFlight, load.Queued,
			load.Slots, load.Service.Round(time.Millisecond), t.Record.Phase, now.Sub(t.AnnouncedAt).Round(time.Millisecond)),
		DurationMillis: 0, RemainingMillis: max(r.Deadline.Sub(now).Milliseconds(), 1),
	})
}

func forget(entry *deduplicator.Entry) {
	if entry != nil {
		entry.Forget()
	}
}

func refused(err error) *exchanger.Answer {
	var refusal *limiter.RefusedError
	if !errors.As(err, &refusal) {
		return exchanger.NotRun(exchanger.ReasonNoTarget, err)
	}
	reason := exchanger.Reason(refusal.Reason)
	if refusal.Reason == limiter.ReasonDraining {
		reason = exchanger.ReasonTargetDraining
	}
	a := exchanger.NotRun(reason, err)
	a.RetryAt = refusal.RetryAfter
	return a
}

// stamp adds the host and the load to an answer.
func (e *Executor) stamp(a *exchanger.Answer) *exchanger.Answer {
	a.TargetHost = e.cfg.Host
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiter != nil {
		load := e.waiter.Load()
		a.Load = &load
	}
	return a
}

// Sync tells the limits of the current target and configuration to those who wait.
func (e *Executor) Sync() { e.sync(e.cfg.Target()) }

func (e *Executor) sync(t blackboard.Target) *limiter.SyncGate {
	s, ok := e.cfg.Service(t.Record.Service)
	if !ok {
		return nil
	}
	limits := limiter.LimitsOf(s)
	limits.FixedSlots, limits.NoRamp, limits.Order = e.cfg.FixedSlots, e.cfg.NoRamp, e.cfg.Order
	if t.Record.Slots > 0 {
		limits.Slots = min(limits.Slots, t.Record.Slots)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiter == nil || e.service != s.Name {
		e.waiter = limiter.NewSyncGate(limits)
		e.service, e.limits = s.Name, limits
		e.draining, e.readySince = false, time.Time{}
	}
	if e.limits != limits {
		e.waiter.SetLimits(limits)
		e.limits = limits
	}
	e.syncPhase(t)
	return e.waiter
}

// syncPhase passes a change of the target's phase on. The caller holds mu.
func (e *Executor) syncPhase(t blackboard.Target) {
	draining := t.Record.Phase == blackboard.TargetDraining || t.Record.Phase == blackboard.TargetFailed
	switch {
	case draining && !e.draining:
		e.waiter.Drain()
	case !draining && e.draining:
		e.waiter.Resume()
	}
	e.draining = draining
	if !t.ReadySince.Equal(e.readySince) {
		e.waiter.SetReadySince(t.ReadySince)
		e.readySince = t.ReadySince
	}
}

// Load returns the state of the target as counted here.
func (e *Executor) Load() (limiter.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiter == nil {
		return limiter.Load{}, false
	}
	return e.waiter.Load(), true
}

// resultOf tells the gate how an exchange ended.
func resultOf(a *exchanger.Answer) limiter.Result {
	return limiter.Result{Outcome: a.Outcome, Shed: a.Reason == exchanger.ReasonTargetShed}
}
