package rationer

import (
	"math"
	"sync"
	"time"
)

const (
	// restTimeout is how long a keeper may be without any report before it begins anew: it
	// may have stood still, and others have kept the limits meanwhile.
	restTimeout = 2 * time.Second
	// startLevel is the share of the burst with which a new keeper begins. It does not know
	// what was admitted before.
	startLevel = 0.25
	// settleTime is how long a keeper is new. After it, a firm of which it knows nothing has
	// not sent anything lately.
	settleTime = 5 * time.Second
	// lag is the time from a request to when all nodes know what follows from it: a report
	// interval, and the delays of messages and of processors that are busy.
	lag = 300 * time.Millisecond
	// limitLevel and releaseLevel are the shares of the burst below and above which a firm
	// becomes limited and is released.
	limitLevel   = 0.35
	releaseLevel = 0.6
	// paceWindow is the time in which a limited firm may use up what is left of its burst,
	// and debtWindow that in which it pays back what it had too much. Both exceed lag, so that
	// the ratio does not swing.
	paceWindow = time.Second
	debtWindow = 600 * time.Millisecond
	// keeperDemandWindow is the time over which a keeper averages the demand of a firm.
	keeperDemandWindow = 500 * time.Millisecond
	// accountTimeout is how long the account of a firm without requests is kept.
	accountTimeout = 10 * time.Second
)

// Keeper counts the requests of firms of which nodes report, and paces them. It is safe
// for concurrent use.
type Keeper struct {
	margin Margin
	// firmOf returns a firm of the configuration in force.
	firmOf func(name string) (Firm, bool)

	mu sync.Mutex
	// nodes is how many nodes are known in all data centres; 0 when unknown. Guarded by mu.
	nodes int
	// reporters holds until when the part of each node counts, by host. Guarded by mu.
	reporters map[string]time.Time
	// accounts holds the firms with recent requests by name. Guarded by mu.
	accounts map[string]*account
	// limited holds the accounts that are limited, by firm. Guarded by mu.
	limited map[string]*account
	// startedAt is when this node became keeper, lastReport when a report came last, and
	// sweepAt when accounts and reporters are next dropped. Guarded by mu.
	startedAt, lastReport, sweepAt time.Time
}

// NewKeeper returns a keeper. firmOf returns a firm of the configuration in force.
func NewKeeper(margin Margin, firmOf func(name string) (Firm, bool)) *Keeper {
	return &Keeper{
		margin: margin, firmOf: firmOf, reporters: map[string]time.Time{},
		accounts: map[string]*account{}, limited: map[string]*account{},
	}
}

// SetNodes sets how many nodes are known in all data centres.
func (k *Keeper) SetNodes(count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.nodes = count
}

// Receive counts the report of a node. It returns the firms that have reached their limits
// by it, of which all nodes should hear at once.
func (k *Keeper) Receive(now time.Time, host string, r Report) (reached []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.lastReport) > restTimeout {
		k.startedAt = now
		clear(k.accounts)
		clear(k.limited)
		clear(k.reporters)
	}
	k.lastReport = now
	k.reporters[host] = now.Add(partIntervals * max(r.Interval, reportInterval))
	k.nodes = max(k.nodes, r.Nodes)
	k.sweep(now)
	for _, use := range r.Uses {
		if k.count(now, use) {
			reached = append(reached, use.Firm)
		}
	}
	return reached
}

// Pace returns the answer to a report with the sequence: the ratios of the limited firms.
// released holds those that are below their limits again since the last call.
func (k *Keeper) Pace(now time.Time, sequence uint64) (p Pace, released []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p = Pace{Sequence: sequence, Nodes: k.nodes}
	for name, a := range k.limited {
		firm, known := k.firmOf(name)
		if known && firm.Rate > 0 {
			a.advance(now, firm, k.margin, k.share())
			a.decide(now, firm, k.margin)
		}
		if !known || firm.Rate == 0 || !a.limited {
			delete(k.limited, name)
			released = append(released, name)
			continue
		}
		if a.ratio == 1 {
			continue
		}
		if p.Ratios == nil {
			p.Ratios = make(map[string]float64, len(k.limited))
		}
		p.Ratios[name] = a.ratio
	}
	return p, released
}

// Limited returns how many firms are near their limits or beyond them.
func (k *Keeper) Limited() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.limited)
}

// Leave takes the part of a node back whose exchange has ended.
func (k *Keeper) Leave(host string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.reporters, host)
}

// count enters the use of a firm and reports whether the firm has become limited.
func (k *Keeper) count(now time.Time, use Use) bool {
	firm, known := k.firmOf(use.Firm)
	if !known || firm.Rate == 0 {
		return false
	}
	a := k.account(now, firm)
	a.lastUse = now
	a.advance(now, firm, k.margin, k.share())
	a.level -= float64(use.Used)
	a.demand.add(now, float64(max(use.Used, 0)+use.Refused), keeperDemandWindow)
	if use.Limited {
		a.level = min(a.level, 0)
	}
	wasLimited := a.limited
	a.decide(now, firm, k.margin)
	if a.limited {
		k.limited[use.Firm] = a
	}
	return a.limited && !wasLimited
}

// account returns the account of a firm, a new one if there is none.
func (k *Keeper) account(now time.Time, firm Firm) *account {
	a := k.accounts[firm.Name]
	if a == nil {
		a = &account{share: k.share(), at: now, demand: newFlow(now), ratio: 1, lent: map[string]loan{}, borrowed: map[string]loan{}}
		a.level = k.margin.burst(firm) * a.share
		if now.Sub(k.startedAt) < settleTime {
			a.level *= startLevel
		}
		k.accounts[firm.Name] = a
	}
	return a
}

// share returns the part of each limit that the reporting nodes stand for.
func (k *Keeper) share() float64 {
	if k.nodes == 0 {
		return 0
	}
	return math.Min(float64(len(k.reporters))/float64(k.nodes), 1)
}

// sweep drops accounts without requests and nodes without reports.
func (k *Keeper) sweep(now time.Time) {
	if now.Before(k.sweepAt) {
		return
	}
	k.sweepAt = now.Add(reportInterval)
	for host, until := range k.reporters {
		if now.After(until) {
			delete(k.reporters, host)
		}
	}
	for name, a := range k.accounts {
		if now.Sub(a.lastUse) > accountTimeout {
			delete(k.accounts, name)
			delete(k.limited, name)
		}
	}
}
