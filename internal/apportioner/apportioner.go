// Package apportioner keeps the limits of firms together with the other nodes: it runs the
// decisions of package rationer, and carries reports to the keepers and their answers back
// over one stream a keeper.
package apportioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/pkg/snapshotter"
)

// StreamKind and LoanKind identify the protocols to the linker.
const (
	StreamKind = "firm-limits"
	LoanKind   = "firm-limit-loans"
)

const (
	// checkInterval is how often a node checks who its keepers are.
	checkInterval = 250 * time.Millisecond
	// lostPeriod is how long a keeper that did not answer is passed over, so that nodes do
	// not return to one that is short of processor time again and again.
	lostPeriod = 10 * time.Second
)

// Config holds what an Apportioner needs.
type Config struct {
	Margin rationer.Margin
	// State returns the current state of the blackboard.
	State func() *blackboard.State
	// CountNodes returns how many nodes are known in all data centres, this one included; 0
	// when this node cannot tell.
	CountNodes func(s *blackboard.State) int
	// Open opens a stream to another node and sends the first message on it.
	Open func(ctx context.Context, address, kind string, first proto.Message) (*linker.Stream, error)
	Log  *logger.Logger
}

// Apportioner is the part of a node in the limits of firms.
type Apportioner struct {
	cfg    Config
	node   *rationer.Node
	keeper *rationer.Keeper
	// keepers holds the hosts of the keepers of this data centre. The list is replaced, never modified.
	keepers atomic.Pointer[[]string]
	// recheck wakes Run when a keeper was lost.
	recheck chan struct{}

	mu sync.Mutex
	// exchanges holds the running exchanges by keeper. Guarded by mu.
	exchanges map[string]*exchange
	// lostUntil holds until when keepers are passed over. Guarded by mu.
	lostUntil map[string]time.Time
	// feeds holds the streams of the nodes that report to this one, by host. Guarded by mu.
	feeds map[string]*feed
}

// New returns an apportioner. Register Serve under StreamKind and ServeLoan under LoanKind.
func New(cfg Config) *Apportioner {
	a := &Apportioner{
		cfg: cfg, recheck: make(chan struct{}, 1),
		exchanges: map[string]*exchange{}, lostUntil: map[string]time.Time{}, feeds: map[string]*feed{},
	}
	a.keepers.Store(&[]string{})
	a.node = rationer.NewNode(cfg.State().Self.Host, cfg.Margin, a.keeperOf)
	a.keeper = rationer.NewKeeper(cfg.Margin, a.firm)
	return a
}

// TakeToken counts a request against the limit of its firm. If that is reached it returns
// false, and when the caller may return.
func (a *Apportioner) TakeToken(now time.Time, firm snapshotter.Firm) (retryAt time.Time, ok bool) {
	retryAt, ok, reportSoon := a.node.Take(now, limitOf(firm))
	if reportSoon {
		a.reportSoon(firm.Name)
	}
	return retryAt, ok
}

// ReturnToken gives the token of a request back that no target has run.
func (a *Apportioner) ReturnToken(now time.Time, firm snapshotter.Firm) {
	a.node.Return(now, limitOf(firm))
}

// Stats returns the decisions of this node so far.
func (a *Apportioner) Stats() rationer.Stats { return a.node.Stats() }

// Limited returns how many firms that this node keeps are near their limits or beyond them.
func (a *Apportioner) Limited() int { return a.keeper.Limited() }

func limitOf(f snapshotter.Firm) rationer.Firm {
	return rationer.Firm{Name: f.Name, Rate: float64(f.Rate), Burst: float64(f.Burst)}
}

// firm returns a firm of the version in force.
func (a *Apportioner) firm(name string) (rationer.Firm, bool) {
	running := a.cfg.State().Config.Running
	if running == nil {
		return rationer.Firm{}, false
	}
	f, known := running.Firms[name]
	return limitOf(f), known
}

// hasLimits reports whether the version in force limits any firm.
func hasLimits(running *snapshotter.Snapshot) bool {
	if running == nil {
		return false
	}
	for _, f := range running.Firms {
		if f.Rate > 0 {
			return true
		}
	}
	return false
}

// Run keeps the exchanges with the keepers until ctx ends.
func (a *Apportioner) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var seen checkedState
	nextLoans := time.Now()
	for {
		now := time.Now()
		a.check(ctx, &group, now, &seen)
		if !now.Before(nextLoans) {
			nextLoans = now.Add(rationer.LoanInterval)
			a.askForLoans(ctx, &group, now)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-a.recheck:
		}
	}
}
