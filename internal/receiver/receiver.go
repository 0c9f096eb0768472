// Package receiver serves callers' HTTP requests, at any node. It chooses the
// target, sends the request there through this node or a peer, decides on retries
// and hedges, and reports the outcome to the caller:
//
//	Gentian-Outcome: done | not-run | unknown
//	Gentian-Reason:  the reason, unless the outcome is done
//
// "not-run" comes with status 503 (400, 401, 404, 413 or 422 when the request itself is
// at fault, 429 beyond the limit of its firm) and is reported only when provably no target started the request.
// "unknown" comes with status 504. When an answer is truncated on its way, the
// caller's connection is aborted, so that the answer cannot look complete.
package receiver

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/attributor"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/moderator"
	"gentianbarrow.example/internal/pacer"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/pkg/snapshotter"
)

// Config holds what a receiver needs.
type Config struct {
	// State returns the current state of the blackboard.
	State func() *blackboard.State
	// Match finds the route of a request and the service of the route.
	Match func(s *snapshotter.Snapshot, host, method, path string) (snapshotter.Route, snapshotter.Service, bool)
	// Dialect is used with callers and targets; the zero value means exchanger.DefaultDialect.
	Dialect exchanger.Dialect
	// CallerService is the service of this host's target, which requests carry as
	// their origin; empty when they carry none.
	CallerService string
	// RetryBurst is how many retries of a service all nodes together may save up; 0
	// means the default of retrier.Budget at each node.
	RetryBurst int
	// Execute runs a request on this host's target.
	Execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
	// Forward sends a request to the node at the address.
	Forward func(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer
	// TakeToken counts a request of a firm against the firm's limit over all nodes; false
	// when that is exhausted, with the time at which the caller may return. Nil means that
	// firms have no limits.
	TakeToken func(now time.Time, firm snapshotter.Firm) (retryAt time.Time, ok bool)
	// ReturnToken gives the token of a request back that no target has run; nil with TakeToken.
	ReturnToken func(now time.Time, firm snapshotter.Firm)
	// OriginOf records a request and returns its origin, and of a call the id of the request
	// that its run serves, if known; nil means that only the depth shows that it is a call.
	OriginOf func(now time.Time, a attributor.Arrival) (origin attributor.Origin, parentID string)
	// RecordCall records the end of a call; nil means that calls are not recorded.
	RecordCall func(now time.Time, c moderator.Call)
	// Delay returns how late this process runs; nil means never late.
	Delay func() time.Duration
	// Guard rejects requests for which this node has no processor time; nil means that all are admitted.
	Guard *shedder.Guard
	// Tracker counts the requests of callers in flight.
	Tracker *drainer.Tracker
	// Explanations records how requests were routed; nil means no records.
	Explanations *explainer.Ring
	// Link paces long answers to callers; nil means that they are not paced.
	Link  *pacer.Link
	Meter *meter.Meter
	Log   *logger.Logger
	// Seed seeds the choice of targets; 0 means a random seed.
	Seed uint64
}

// Receiver is an http.Handler for callers.
type Receiver struct {
	cfg   Config
	index index
	// watched is the latest result of isWatched; nil before the first.
	watched atomic.Pointer[watchedState]

	mu sync.Mutex
	// balancer and rnd choose targets; rnd also starts splits. Guarded by mu.
	balancer *router.Balancer
	rnd      *rand.Rand
	// budgets by service. Guarded by mu.
	budgets map[string]*retrier.Budget
	// splits by route. Guarded by mu.
	splits map[string]*split
	// stats are reset when idle targets of balancer are dropped. Guarded by mu.
	stats *routeStats
	// leaving holds, by host, the target's process whose answers stated that it leaves.
	// Guarded by mu.
	leaving map[string]leavingTarget
	// nextExpiry is when idle targets of balancer are next dropped. Guarded by mu.
	nextExpiry time.Time
}

// leavingTarget is a target's process that leaves.
type leavingTarget struct {
	process exchanger.TargetProcess
	// forgetAt is when the process has surely exited.
	forgetAt time.Time
}

// targetExpiry is how long the balancer keeps a target from which no answer comes.
const targetExpiry = 10 * time.Minute

// New returns the handler.
func New(cfg Config) *Receiver {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	if cfg.Dialect.Status == nil {
		cfg.Dialect = exchanger.DefaultDialect()
	}
	return &Receiver{
		cfg: cfg, balancer: router.New(), rnd: rand.New(rand.NewPCG(seed, seed)),
		budgets: map[string]*retrier.Budget{}, splits: map[string]*split{}, stats: newRouteStats(),
		leaving: map[string]leavingTarget{},
	}
}

// ServeHTTP answers one request.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	caller, ok := acceptor.CallerOf(r.Context())
	if !ok {
		caller.Arrived = time.Now()
	}
	c := &call{
		receiver: rc, w: w, httpRequest: r, control: http.NewResponseController(w),
		caller: caller, readAt: time.Now(), record: explainer.Record{Arrived: caller.Arrived},
	}
	rc.cfg.Meter.RecordUnread(meter.OriginCaller, c.readAt.Sub(caller.Arrived))
	defer c.finish()
	a := c.handle()
	c.reply(a)
}

// RecordLoad records the load that another node reports of its target.
func (rc *Receiver) RecordLoad(host, service string, l limiter.Load) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.balancer.RecordLoad(time.Now(), service, host, l)
}

// budget returns the retry budget of a service. The caller holds mu.
func (rc *Receiver) budget(now time.Time, s snapshotter.Service) *retrier.Budget {
	b := rc.budgets[s.Name]
	if b == nil {
		b = retrier.NewBudget(now, s.RetryPercent)
		rc.budgets[s.Name] = b
	}
	b.SetPercent(s.RetryPercent)
	if rc.cfg.RetryBurst > 0 {
		nodes := len(rc.cfg.State().Members.ByHost) + 1
		b.SetBurst(float64(rc.cfg.RetryBurst) / float64(nodes) * burstShare)
	}
	return b
}

// burstShare is the fraction of its equal part of the common burst that a node
// uses, since it may not know every node yet.
const burstShare = 0.8

// expireTargets drops idle targets of the balancer. The caller holds mu.
func (rc *Receiver) expireTargets(now time.Time) {
	if now.Before(rc.nextExpiry) {
		return
	}
	rc.nextExpiry = now.Add(targetExpiry)
	rc.balancer.ForgetIdle(now.Add(-targetExpiry))
	rc.stats = newRouteStats()
	maps.DeleteFunc(rc.leaving, func(_ string, l leavingTarget) bool { return now.After(l.forgetAt) })
}
