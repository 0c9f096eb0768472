// Package executor runs requests on the target of this host. It checks the
// target's phase, looks up the idempotency key, waits for a slot and only then
// dispatches the request. All requests reach a target through the node in front
// of it, so a request that the executor refuses has not been run.
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
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// newTargetKeyDelay is how long a target that has become ready takes no new
// idempotency keys. After that time all nodes know of the target: they send it the
// keys whose home it is, and look up at earlier homes the keys that it may lack.
const newTargetKeyDelay = 5 * time.Second

// keyRunningRetryDelay is how long a caller should wait before it retries with a
// key whose request is still running.
const keyRunningRetryDelay = 1 * time.Second

// Config holds what an executor needs.
type Config struct {
	// Host is the name of this host.
	Host string
	// Target returns the current state of this host's target.
	Target func() blackboard.Target
	// Service returns the running configuration of a service.
	Service func(name string) (snapshotter.Service, bool)
	Client  dispatcher.Client
	// Observe is called when a request that held a slot has ended, with the time it
	// waited for the slot and the time it held it; nil means no call.
	Observe func(r *exchanger.Request, queued, served time.Duration)
	// BlameAfter is how long the target must have held a request that reached its
	// deadline for this to count against the target; 0 means defaultBlameAfter.
	BlameAfter time.Duration
	// ReportLeaving is called when the process of the target answers that it is about to
	// exit, or another node knows that from an answer; nil means no call.
	ReportLeaving func(t blackboard.Target)
	// InitialRate is the state of the rate limit of a process of the target before its
	// first answer: unknown where targets state limits in their answers, else unlimited.
	InitialRate limiter.RateState
	// ObserveSent is called with each request that is sent to the target; nil means no call.
	ObserveSent func(r *exchanger.Request)
	// ObserveBroken is called with each broken answer of the target; nil means no call.
	ObserveBroken func(part dispatcher.Part)
	// ObserveRateLimit is called when the target states another limit on the requests a
	// second that it accepts, or none; nil means no call.
	ObserveRateLimit func(perSecond float64, isLimited bool)
	// ObserveShortage is called now and then with who is put behind at the target; nil means no call.
	ObserveShortage func(s limiter.Shortage)
	// LinkQueue returns for how long a further piece of a long answer waits for the link of
	// this host; nil means that long answers are not paced.
	LinkQueue func() time.Duration
	// Calls returns the services that the runs of a route call; nil means that none is known.
	Calls func(route string) []string
	// DeeperWait returns how long a run of the target waits for slots of services that it
	// calls; nil means never.
	DeeperWait func() time.Duration
	// FixedSlots and NoRamp are copied to the limits of the target.
	FixedSlots, NoRamp bool
	// Order is the order of waiting requests; empty means the limiter's default.
	Order limiter.Order
	// Lateness returns how late the process of this node runs; nil means never late.
	Lateness func() time.Duration
	// Log receives a line for each request that is not admitted to the target.
	Log *logger.Logger
	// ReportWrongTarget is called with the id of the process that answered in place
	// of the expected one; nil means no call.
	ReportWrongTarget func(targetID string)
	// ReportHealth is called when a finished request shows whether the target is
	// healthy; nil means no call.
	ReportHealth func(healthy bool)
}

// Executor runs requests on one target. It is safe for concurrent use.
type Executor struct {
	cfg  Config
	keys *deduplicator.Table
	// readAhead is used where the link is paced.
	readAhead readAhead

	mu sync.Mutex
	// gate admits requests to the target of service under limits; nil before the
	// first request or tick with a known service. Guarded by mu.
	gate    *limiter.SyncGate
	service string
	limits  limiter.Limits
	// draining and readySince are the values that gate was last set to. Guarded by mu.
	draining   bool
	readySince time.Time
	// process is the process of the target that rate is of. Guarded by mu.
	process exchanger.TargetProcess
	rate    statedRate
	// leavingReported is set once process has stated that it leaves. Guarded by mu.
	leavingReported bool
	// shortage is what was last reported of the gate. Guarded by mu.
	shortage shortageLog
}

// New returns an executor.
func New(cfg Config) *Executor {
	if cfg.BlameAfter == 0 {
		cfg.BlameAfter = defaultBlameAfter
	}
	return &Executor{cfg: cfg, keys: deduplicator.New()}
}

// Execute runs the request on the target. The caller must close the answer.
func (e *Executor) Execute(ctx context.Context, r *exchanger.Request) *exchanger.Answer {
	if r.LookupOnly {
		return e.Refuse(r, exchanger.ReasonKeyNotHere)
	}
	t := e.cfg.Target()
	if reason := e.refusalReason(t, r); reason != exchanger.ReasonNone {
		e.logNotAdmitted(t, r, reason)
		return e.Refuse(r, reason)
	}
	if !usesKey(r) {
		return e.annotate(e.admit(ctx, t, r, nil))
	}
	if keysAcceptedAt := t.ReadySince.Add(newTargetKeyDelay); time.Now().Before(keysAcceptedAt) {
		a := e.Refuse(r, exchanger.ReasonKeyHomeNew)
		if a.Reason == exchanger.ReasonKeyHomeNew {
			a.RetryAt = keysAcceptedAt
		}
		return a
	}
	entry, known, fresh, err := e.keys.Begin(time.Now(), r.IdempotencyKey, fingerprint(r))
	if err != nil {
		return e.annotate(exchanger.NotRun(keyErrorReason(err), err))
	}
	if !fresh {
		return e.annotate(knownKeyAnswer(known))
	}
	return e.annotate(e.admit(ctx, t, r, entry))
}

// Precheck returns the refusal of a request that is known not to be served before its
// body has been received, or nil. ahead is how many other requests, whose bodies are
// being received, go before it. A request whose key may be known is not refused here.
func (e *Executor) Precheck(r *exchanger.Request, ahead int) *exchanger.Answer {
	if r.LookupOnly || usesKey(r) {
		return nil
	}
	t := e.cfg.Target()
	if reason := e.refusalReason(t, r); reason != exchanger.ReasonNone {
		e.logNotAdmitted(t, r, reason)
		return e.Refuse(r, reason)
	}
	gate := e.sync(t)
	if gate == nil {
		return nil
	}
	refused := gate.Precheck(e.limiterRequest(r), ahead)
	if refused == nil {
		return nil
	}
	a := refusedAnswer(refused)
	e.logNotAdmitted(t, r, a.Reason)
	return e.annotate(a)
}

// Refuse answers a request without running it: with what is known of its
// idempotency key, or with "not-run" and the reason when nothing is known.
func (e *Executor) Refuse(r *exchanger.Request, reason exchanger.Reason) *exchanger.Answer {
	if !usesKey(r) {
		return e.annotate(exchanger.NotRun(reason, nil))
	}
	known, ok, err := e.keys.Find(time.Now(), r.IdempotencyKey, fingerprint(r))
	switch {
	case err != nil:
		return e.annotate(exchanger.NotRun(keyErrorReason(err), err))
	case ok:
		return e.annotate(knownKeyAnswer(known))
	default:
		return e.annotate(exchanger.NotRun(reason, nil))
	}
}

// usesKey reports whether an idempotency key decides if the request is run.
// Idempotent requests need no key.
func usesKey(r *exchanger.Request) bool { return r.IdempotencyKey != "" && !r.Idempotent }

// refusalReason returns why the target does not take the request now, or ReasonNone.
// It reports that the target leaves if only the sender of the request knew that.
func (e *Executor) refusalReason(t blackboard.Target, r *exchanger.Request) exchanger.Reason {
	reason := phaseReason(t, r.Service, time.Now())
	if reason != exchanger.ReasonNone || r.Leaving == nil || *r.Leaving != processOf(t) {
		return reason
	}
	if e.cfg.ReportLeaving != nil {
		e.cfg.ReportLeaving(t)
	}
	return exchanger.ReasonTargetDraining
}

// phaseReason returns why the target takes no request of the service now, or
// ReasonNone.
func phaseReason(t blackboard.Target, service string, now time.Time) exchanger.Reason {
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

// fingerprint hashes what must be equal in all requests with one key. The body is not part of it.
func fingerprint(r *exchanger.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Path, r.Service, r.Firm} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// keyErrorReason returns the reason of an error of deduplicator.Table.
func keyErrorReason(err error) exchanger.Reason {
	var reused *deduplicator.ReusedError
	if errors.As(err, &reused) {
		return exchanger.ReasonKeyReused
	}
	return exchanger.ReasonKeyTableFull
}

// admit waits for a slot and runs the request. entry is nil without a key.
func (e *Executor) admit(ctx context.Context, t blackboard.Target, r *exchanger.Request, entry *deduplicator.Entry) *exchanger.Answer {
	arrived := time.Now()
	gate := e.sync(t)
	if gate == nil {
		forgetKey(entry)
		return exchanger.NotRun(exchanger.ReasonNoConfig, nil)
	}
	release, err := gate.Acquire(ctx, e.limiterRequest(r))
	if err != nil {
		forgetKey(entry)
		a := refusedAnswer(err)
		e.logNotAdmitted(t, r, a.Reason)
		return a
	}
	started := time.Now()
	if reason := lateReason(ctx, r, started); reason != exchanger.ReasonNone {
		release(limiter.Result{Outcome: retrier.OutcomeNotRun})
		forgetKey(entry)
		return exchanger.NotRun(reason, ctx.Err())
	}
	r.TargetID = t.ID
	if r.Body != nil {
		r.TargetAccepts = func() bool { return e.accepts(r, t) }
	}
	if e.cfg.ObserveSent != nil {
		e.cfg.ObserveSent(r)
	}
	a := e.cfg.Client.Dispatch(ctx, t.Address, r)
	e.recordReport(t, started, a.Report)
	if a.Report != nil && a.Report.Leaving {
		leaving := processOf(t)
		a.Leaving = &leaving
	}
	if a.Reason == exchanger.ReasonWrongTarget && e.cfg.ReportWrongTarget != nil {
		e.cfg.ReportWrongTarget(a.TargetID)
	}
	if a.Reason != exchanger.ReasonDeadline && a.Reason != exchanger.ReasonCancelled {
		e.reportBroken(r, a.Err)
	}
	x := &exchange{
		executor: e, request: r, release: release, entry: entry, arrived: arrived, started: started,
		callerGone: func() bool { return ctx.Err() != nil },
	}
	x.track(a)
	return a
}

// accepts reports whether the process of the target to which the request is about to be
// sent still takes requests.
func (e *Executor) accepts(r *exchanger.Request, sentTo blackboard.Target) bool {
	t := e.cfg.Target()
	return processOf(t) == processOf(sentTo) && phaseReason(t, r.Service, time.Now()) == exchanger.ReasonNone
}

// lateReason returns why a request that has a slot is not sent to the target any more, or
// ReasonNone. The end of its context may not have been noticed yet in a process that is
// short of processor time.
func lateReason(ctx context.Context, r *exchanger.Request, now time.Time) exchanger.Reason {
	switch {
	case !now.Before(r.Deadline):
		return exchanger.ReasonDeadline
	case ctx.Err() != nil, r.CallerGone != nil && r.CallerGone():
		return exchanger.ReasonCancelled
	default:
		return exchanger.ReasonNone
	}
}

func (e *Executor) limiterRequest(r *exchanger.Request) limiter.Request {
	out := limiter.Request{
		Class: r.Class, Firm: r.Firm, Deadline: r.Deadline, Priority: r.Priority, SoftDeadline: r.SoftDeadline, Route: r.Route, NoWait: r.NoWait,
		FirmRate: r.FirmRate, WaitPastSoftDeadline: r.WaitPastSoftDeadline, IsCall: r.IsCall,
	}
	if e.cfg.Calls != nil {
		out.Calls = e.cfg.Calls(r.Route)
	}
	return out
}

// logNotAdmitted logs a refusal with the load and the phase of the target.
func (e *Executor) logNotAdmitted(t blackboard.Target, r *exchanger.Request, reason exchanger.Reason) {
	load, _ := e.Load()
	now := time.Now()
	e.cfg.Log.WriteRequest(logger.RequestNotAdmitted, logger.Fields{
		RequestID: r.ID, Service: r.Service, Route: r.Route, Reason: string(reason), Version: r.ConfigVersion, Target: t.ID, IsCall: r.IsCall,
		Load: fmt.Sprintf("%d running, %d waiting, %d slots, %s a request, limit %s; %s, announced %s ago", load.InFlight, load.Queued,
			load.Slots, load.Service.Round(time.Millisecond), formatRate(e.currentRate()), t.Record.Phase, now.Sub(t.AnnouncedAt).Round(time.Millisecond)),
		DurationMillis: 0, RemainingMillis: max(r.Deadline.Sub(now).Milliseconds(), 1),
	})
}

// forgetKey forgets the key of a request that was not run. entry may be nil.
func forgetKey(entry *deduplicator.Entry) {
	if entry != nil {
		entry.Forget()
	}
}

// refusedAnswer returns the answer to a request that the limiter refused.
func refusedAnswer(err error) *exchanger.Answer {
	var refusedErr *limiter.RefusedError
	if !errors.As(err, &refusedErr) {
		return exchanger.NotRun(exchanger.ReasonNoTarget, err)
	}
	reason := exchanger.Reason(refusedErr.Reason)
	if refusedErr.Reason == limiter.ReasonDraining {
		reason = exchanger.ReasonTargetDraining
	}
	a := exchanger.NotRun(reason, err)
	a.RetryAt = refusedErr.RetryAfter
	return a
}

// annotate adds the host and the target's load to an answer.
func (e *Executor) annotate(a *exchanger.Answer) *exchanger.Answer {
	a.TargetHost = e.cfg.Host
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate != nil {
		load := e.load()
		a.Load = &load
	}
	return a
}

// Sync applies the current target and configuration to waiting requests.
func (e *Executor) Sync() {
	t := e.cfg.Target()
	e.sync(t)
	e.reportShortage(time.Now(), t)
}

// sync applies the target's state and the configuration to the gate and returns it;
// nil when the service is not known.
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
	if e.gate == nil || e.service != s.Name {
		e.gate = limiter.NewSyncGate(limits)
		e.service, e.limits = s.Name, limits
		e.draining, e.readySince = false, time.Time{}
		e.process, e.rate, e.leavingReported = exchanger.TargetProcess{}, statedRate{}, false
	}
	if e.limits != limits {
		e.gate.SetLimits(limits)
		e.limits = limits
	}
	e.syncPhase(t)
	e.setProcess(t)
	return e.gate
}

// syncPhase applies a change of the target's phase to the gate. The caller holds mu.
func (e *Executor) syncPhase(t blackboard.Target) {
	draining := t.Record.Phase == blackboard.TargetDraining || t.Record.Phase == blackboard.TargetFailed
	switch {
	case draining && !e.draining:
		e.gate.Drain()
	case !draining && e.draining:
		e.gate.Resume()
	}
	e.draining = draining
	if !t.ReadySince.Equal(e.readySince) {
		e.gate.SetReadySince(t.ReadySince)
		e.readySince = t.ReadySince
	}
}

// limiterResult returns how an exchange ended, for the limiter.
func limiterResult(a *exchanger.Answer) limiter.Result {
	return limiter.Result{Outcome: a.Outcome, Shed: a.Reason == exchanger.ReasonTargetShed}
}
