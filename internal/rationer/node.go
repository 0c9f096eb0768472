package rationer

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// answerTimeout is how long a node relies on a keeper that has not answered a report.
	// With it, the excess that nodes admit unseen fits into the overage of a window of
	// some seconds.
	answerTimeout = 500 * time.Millisecond
	// capFactor is the local cap as a multiple of the node's part of the burst. Callers do
	// not spread evenly over nodes.
	capFactor = 0.6
	// capPeriod is the time for which the local cap allows what the node saw lately: the
	// longest from an answer to when the node no longer relies on its keeper. With less, a
	// firm below its limit is refused for a keeper that stands still.
	capPeriod = answerTimeout + reportInterval
	// minCap is the least local cap. Requests of a page come together.
	minCap = 4
	// demandWindow is the time over which a node averages what a firm asks of it.
	demandWindow = time.Second
	// ownRateShare is the share of its part of the rate that a node uses by itself. The
	// keeper may still count the node's part for a while.
	ownRateShare = 0.8
	// idleTimeout is how long a node keeps the state of a firm without requests.
	idleTimeout = 10 * time.Second
	// minReturnDelay and maxReturnDelay bound when a refused caller may return. Each
	// request has the same chance of a token; the sooner it has one, the more its answer is
	// worth. So callers return within the time in which most answers still have full worth.
	minReturnDelay = 100 * time.Millisecond
	maxReturnDelay = 250 * time.Millisecond
)

// Node is the part of the decision at the node that requests reach. It is safe for
// concurrent use.
type Node struct {
	host   string
	margin Margin
	// keeperOf returns the host of the keeper of a firm; empty when there is none.
	keeperOf func(firm string) string

	mu sync.Mutex
	// nodes is how many nodes are known in all data centres; 0 when that is unknown. Guarded by mu.
	nodes int
	// told is how many nodes a keeper knows that answered last. Guarded by mu.
	told int
	// stats is guarded by mu.
	stats Stats
	// hasKept is true once a keeper has answered this process. Guarded by mu.
	hasKept bool
	// firms holds the firms with recent requests by name. Guarded by mu.
	firms map[string]*localUse
	// keepers holds the keepers that are asked, by host. Guarded by mu.
	keepers map[string]*keeperLink
}

// keeperLink is the exchange with one keeper.
type keeperLink struct {
	// answered is true once the keeper has answered a report.
	answered bool
	sequence uint64
	// ratios is what the keeper told last. Read-only.
	ratios map[string]float64
	// unanswered is the first report without an answer, sent at unansweredAt; 0 when
	// there is none.
	unanswered   uint64
	unansweredAt time.Time
}

func (k *keeperLink) isReliable(now time.Time) bool {
	return k != nil && k.answered && !k.isOverdue(now)
}

// ratio returns the share of the requests of a firm to admit.
func (k *keeperLink) ratio(firm string) float64 {
	if k != nil {
		if ratio, isLimited := k.ratios[firm]; isLimited {
			return ratio
		}
	}
	return 1
}

func (k *keeperLink) isOverdue(now time.Time) bool {
	return k.unanswered != 0 && now.Sub(k.unansweredAt) > answerTimeout
}

// localUse is what a node knows of a firm.
type localUse struct {
	keeper string
	// used and refused are not reported yet.
	used, refused int
	demand        flow
	lastRequest   time.Time
	// tokens is what remains of the local cap until the keeper answers.
	tokens float64
	// reportAt is the number of tokens at which the keeper should hear of the firm soon.
	reportAt float64
	// ratio is the share of requests to admit; 1 below the limit.
	ratio float64
	// phase is between 0 and 1 and grows by ratio with each request; one that takes it to 1 is admitted.
	phase float64
	// burstPart is the node's part of the burst when it was last asked.
	burstPart float64
	// bridgeUntil is until when the ratio counts although the keeper has changed.
	bridgeUntil time.Time
	// ownLevel is the level at ownAt of the bucket with the node's own part. ownAt is zero
	// while the node goes by the ratio.
	ownLevel float64
	ownAt    time.Time
	// chance is a constant from 0 to 1 that differs between nodes and firms.
	chance float64
}

// NewNode returns the decision for the node of a host. keeperOf returns the host of the keeper of a
// firm, empty when there is none.
func NewNode(host string, margin Margin, keeperOf func(firm string) string) *Node {
	return &Node{
		host: host, margin: margin, keeperOf: keeperOf,
		firms: map[string]*localUse{}, keepers: map[string]*keeperLink{},
	}
}

// SetNodes sets how many nodes are known in all data centres, this one included; 0 when
// this node cannot tell.
func (n *Node) SetNodes(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes = count
}

// part returns the share of each limit that this node stands for.
func (n *Node) part() float64 {
	if nodes := max(n.nodes, n.told); nodes > 0 {
		return 1 / float64(nodes)
	}
	return 0
}

// Stats counts decisions.
type Stats struct {
	Admitted, Refused uint64
	// Alone counts the decisions without the word of a keeper.
	Alone uint64
}

// Stats returns the decisions so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stats
}

// Take decides on a request: whether it is admitted, else when the caller may return.
// reportSoon is set when the keeper should hear of the firm before the next regular
// report.
func (n *Node) Take(now time.Time, firm Firm) (retryAt time.Time, ok, reportSoon bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.local(now, firm)
	u.demand.add(now, 1, demandWindow)
	u.lastRequest, u.burstPart = now, n.part()*n.margin.burst(firm)
	tokens := u.tokens
	var ratio float64
	if now.Before(u.bridgeUntil) || n.keepers[u.keeper].isReliable(now) {
		ratio = u.ratio
		ok = u.takeByRatio()
		u.ownAt = time.Time{}
	} else {
		ratio = min(n.part()*firm.Rate/max(u.demand.perSecond, 1), 1)
		ok = n.takeOwn(now, u, firm)
		n.stats.Alone++
	}
	if !ok {
		n.stats.Refused++
		u.refused++
		return now.Add(u.returnDelay(ratio)), false, false
	}
	n.stats.Admitted++
	u.used++
	return time.Time{}, true, u.tokens <= u.reportAt && tokens > u.reportAt
}

func (u *localUse) takeByRatio() bool {
	if u.tokens < 1 {
		return false
	}
	u.phase += u.ratio
	if u.phase < 1 {
		return false
	}
	u.phase--
	u.tokens--
	return true
}

// takeOwn takes a token of the bucket that this node has by itself.
func (n *Node) takeOwn(now time.Time, u *localUse, firm Firm) bool {
	rate := ownRateShare * n.part() * firm.Rate
	size := max(u.burstPart, 1)
	if u.ownAt.IsZero() {
		u.ownAt, u.ownLevel = now, n.firstOwnLevel(u)
	}
	u.ownLevel = min(u.ownLevel+rate*now.Sub(u.ownAt).Seconds(), size)
	u.ownAt = now
	if u.ownLevel < 1 {
		return false
	}
	u.ownLevel--
	return true
}

// firstOwnLevel returns the level at which the bucket of the node's own part begins. Parts
// below one token are rounded by chance, so that those of many nodes add up.
func (n *Node) firstOwnLevel(u *localUse) float64 {
	switch {
	case u.ratio < 1:
		return 0
	case !n.hasKept:
		// All nodes may have restarted; what they admitted before is not known.
		return math.Floor(startLevel*u.burstPart + 1 - u.chance)
	case u.burstPart >= 1:
		return max(startLevel*u.burstPart, 1)
	case u.bridgeUntil.IsZero() && u.chance < u.burstPart:
		return 1
	default:
		return 0
	}
}

// returnDelay returns after which time a refused caller may come back: later the fewer are
// admitted, and spread over half of that time.
func (u *localUse) returnDelay(ratio float64) time.Duration {
	delay := maxReturnDelay
	if ratio > float64(minReturnDelay)/float64(maxReturnDelay) {
		delay = time.Duration(float64(minReturnDelay) / ratio)
	}
	spread := float64(u.refused%8) / 8
	return delay/2 + time.Duration(spread*float64(delay)/2)
}

// Return gives back the token of a request that no target has run.
func (n *Node) Return(now time.Time, firm Firm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	u := n.local(now, firm)
	u.used--
	u.tokens++
	u.ownLevel++
}

func (n *Node) local(now time.Time, firm Firm) *localUse {
	u := n.firms[firm.Name]
	if u == nil {
		u = &localUse{
			keeper: n.keeperOf(firm.Name), demand: newFlow(now), lastRequest: now,
			chance: float64(xxhash.Sum64String(n.host+"\x00"+firm.Name)>>11) / (1 << 53),
		}
		u.ratio, u.phase = n.keepers[u.keeper].ratio(firm.Name), u.chance
		n.refill(u, firm)
		n.firms[firm.Name] = u
	}
	return u
}

// localCap returns how many requests the node admits until the keeper answers. A steady
// firm may have a request at the start and at the end of capPeriod, hence one more.
func (n *Node) localCap(u *localUse, firm Firm) float64 {
	return max(minCap, capFactor*n.part()*n.margin.burst(firm), u.demand.perSecond*capPeriod.Seconds()+1)
}

// refill sets what the firm may have until the keeper answers.
func (n *Node) refill(u *localUse, firm Firm) {
	size := n.localCap(u, firm)
	u.tokens, u.reportAt = size-float64(max(u.used, 0)), size/2
}
