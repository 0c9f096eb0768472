package moderator

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianbarrow.example/internal/attributor"
)

const (
	// applyInterval is how often limits are applied. It is shorter than adjustInterval, so
	// that the limits of several services are not late.
	applyInterval = 50 * time.Millisecond
	// learnInterval is how often it is taken over which routes' runs make calls.
	learnInterval = time.Second
)

// Config holds what a Room needs.
type Config struct {
	// StartedAt is when the process started.
	StartedAt time.Time
	// Slots returns how many runs may be under way at the target; 0 if unknown.
	Slots func() int
	// Apply sets the limits of the runs under way, by called service.
	Apply func(limits map[string]float64)
	// Observe is called when the runs that call a service begin or cease to be limited; nil
	// means no call.
	Observe func(service string, limited bool)
}

// Room follows the runs of the target on this host and their calls, and limits the runs
// that make calls. It is safe for concurrent use.
type Room struct {
	cfg Config

	mu sync.Mutex
	// attributor and moderator are guarded by mu.
	attributor *attributor.Attributor
	moderator  *Moderator
	// called lists, by route, the services that its runs call. Its lists are replaced, never
	// modified. Guarded by mu.
	called map[string][]string
	// learnAt is when called is next replaced. Guarded by mu.
	learnAt time.Time
	// limited is set while limits are applied. Guarded by mu.
	limited bool
}

// NewRoom returns a Room. Its Run method applies the limits.
func NewRoom(cfg Config) *Room {
	return &Room{cfg: cfg, attributor: attributor.New(cfg.StartedAt), moderator: New()}
}

// Run applies limits until ctx ends.
func (r *Room) Run(ctx context.Context) error {
	ticker := time.NewTicker(applyInterval)
	defer ticker.Stop()
	var observed map[string]float64
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if limits, changed := r.adjust(time.Now()); changed {
				r.cfg.Apply(limits)
				observed = r.observe(observed, limits)
			}
		}
	}
}

// observe reports the differences between two sets of limits and returns the later one.
func (r *Room) observe(before, after map[string]float64) map[string]float64 {
	if r.cfg.Observe == nil {
		return after
	}
	for service := range after {
		if _, known := before[service]; !known {
			r.cfg.Observe(service, true)
		}
	}
	for service := range before {
		if _, known := after[service]; !known {
			r.cfg.Observe(service, false)
		}
	}
	return after
}

func (r *Room) adjust(now time.Time) (limits map[string]float64, changed bool) {
	slots := r.cfg.Slots()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !now.Before(r.learnAt) {
		r.called, r.learnAt = r.attributor.CalledServices(now), now.Add(learnInterval)
	}
	if slots == 0 {
		return nil, false
	}
	limits = r.moderator.Adjust(now, slots)
	changed = r.limited || len(limits) > 0
	r.limited = len(limits) > 0
	return limits, changed
}

// Arrive records a request and returns its origin, and of a call the id of the request
// that its run serves, if that is known.
func (r *Room) Arrive(now time.Time, a attributor.Arrival) (origin attributor.Origin, parentID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attributor.Arrive(now, a)
}

// RecordRunStart records that a request was handed to the target.
func (r *Room) RecordRunStart(now time.Time, id, route string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attributor.RecordRunStart(now, id, route)
}

// RecordRunEnd records the end of a run that took the given time.
func (r *Room) RecordRunEnd(now time.Time, id, route string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attributor.RecordRunEnd(now, id, route)
	r.moderator.RecordRun(took, r.called[route])
}

// RecordCall records the end of a call.
func (r *Room) RecordCall(now time.Time, c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moderator.RecordCall(now, c)
}

// Calls returns the services that the runs of a route call.
func (r *Room) Calls(route string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.called[route]
}

// WaitPerRun returns how long a run waits for slots of the services that it calls.
func (r *Room) WaitPerRun() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moderator.WaitPerRun()
}

// Estimates returns what this node has learned of the calls of its target's runs, and
// the routes that callers send.
func (r *Room) Estimates(now time.Time) (calls []attributor.Estimate, callerRoutes []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.attributor.Estimates(now)), r.attributor.Proven()
}

// RecordOthers records what another node has learned, with estimates only of a target of
// the same service.
func (r *Room) RecordOthers(now time.Time, host string, calls []attributor.Estimate, callerRoutes []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attributor.RecordOthers(now, host, calls)
	r.attributor.RecordProven(callerRoutes)
}
