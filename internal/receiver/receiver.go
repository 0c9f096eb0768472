// Package receiver takes callers' HTTP requests, at any node, and answers them
// whole. It chooses the target, sends the request there through this node or a
// peer, decides on retries and hedges, and tells the caller the outcome:
//
//	Gentian-Outcome: done | not-run | unknown
//	Gentian-Reason:  why, unless the outcome is done
//
// "not-run" comes with status 503 (400, 404 or 422 when the request itself is
// at fault) and is only said when provably no target started the request.
// "unknown" comes with status 504. An answer that is cut on its way aborts the
// caller's connection, so that it cannot look complete.
package receiver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/pkg/snapshotter"
)

// Config holds what a receiver needs.
type Config struct {
	// State returns the state of the board.
	State func() *blackboard.State
	// Match finds the route of a request.
	Match func(s *snapshotter.Snapshot, host, method, path string) (snapshotter.Route, snapshotter.Service, bool)
	// Dialect of callers and targets; the zero value is this system's own.
	Dialect exchanger.Dialect
	// CallerService is the service of this host's target; empty when requests do not name it.
	CallerService string
	// RetryBurst is how many retries of a service all nodes together may save up; 0 leaves it to the budget.
	RetryBurst int
	// Execute runs a request on this host's target.
	Execute func(ctx context.Context, r *exchanger.Request) *exchanger.Answer
	// Forward sends a request to the node at the address.
	Forward func(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer
	// Tracker counts requests of callers.
	Tracker *drainer.Tracker
	// Explanations remembers how requests were routed; nil means nothing is remembered.
	Explanations *explainer.Ring
	Meter        *meter.Meter
	Log          *logger.Logger
	// Seed of the choice of targets; 0 takes a random one.
	Seed uint64
}

// Receiver is an http.Handler for callers.
type Receiver struct {
	cfg   Config
	index index

	mu sync.Mutex
	// table and rnd choose targets. Guarded by mu.
	table *router.Balancer
	rnd   *rand.Rand
	// budgets by service. Guarded by mu.
	budgets map[string]*retrier.Budget
	// splits by route. Guarded by mu.
	splits map[string]*split
	// stats are begun anew when old entries of the table are dropped. Guarded by mu.
	stats *routeStats
	// forgetAt is when the table is next cleared of old entries. Guarded by mu.
	forgetAt time.Time
}

// forgetAfter is how long the table keeps a target that no answer came from.
const forgetAfter = 10 * time.Minute

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
		cfg: cfg, table: router.New(), rnd: rand.New(rand.NewPCG(seed, seed)),
		budgets: map[string]*retrier.Budget{}, splits: map[string]*split{}, stats: newRouteStats(),
	}
}

// ServeHTTP answers one request.
func (rc *Receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{
		receiver: rc, w: w, httpRequest: r, control: http.NewResponseController(w),
		record: explainer.Record{Arrived: time.Now()},
	}
	defer c.finish()
	a := c.run()
	c.reply(a)
}

// Reported takes in what another node says of the load of its target.
func (rc *Receiver) RecordLoad(host, service string, l limiter.Load) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.table.RecordLoad(time.Now(), service, host, l)
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

// burstShare of its part of the common burst is what a node uses, since it may not know every node yet.
const burstShare = 0.8

// forget drops old entries of the table. The caller holds mu.
func (rc *Receiver) forget(now time.Time) {
	if now.Before(rc.forgetAt) {
		return
	}
	rc.forgetAt = now.Add(forgetAfter)
	rc.table.ForgetIdle(now.Add(-forgetAfter))
	rc.stats = newRouteStats()
}
