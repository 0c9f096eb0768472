package rationer

import "time"

// HasNews reports whether there is something that a keeper has not been told.
func (n *Node) HasNews(keeper string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, u := range n.firms {
		if u.keeper == keeper && (u.used != 0 || u.refused != 0) {
			return true
		}
	}
	return false
}

// Report returns what has not been reported to a keeper, and marks it as reported.
func (n *Node) Report(now time.Time, keeper string) Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.keepers[keeper]
	if k == nil {
		k = &keeperLink{}
		n.keepers[keeper] = k
	}
	r := Report{Sequence: k.sequence + 1, Nodes: n.nodes}
	for name, u := range n.firms {
		if u.keeper != keeper {
			continue
		}
		isLimited := k.sequence == 0 && u.ratio < 1
		if u.used != 0 || u.refused != 0 || isLimited {
			r.Uses = append(r.Uses, Use{Firm: name, Used: u.used, Refused: u.refused, Limited: isLimited})
			u.used, u.refused = 0, 0
		} else if now.Sub(u.lastRequest) > idleTimeout {
			delete(n.firms, name)
		}
	}
	k.sequence = r.Sequence
	if k.unanswered == 0 {
		k.unanswered, k.unansweredAt = k.sequence, now
	}
	return r
}

// Apply takes over what a keeper told. firmOf returns a firm of the configuration in force.
func (n *Node) Apply(now time.Time, keeper string, p Pace, firmOf func(name string) (Firm, bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.keepers[keeper]
	if k == nil {
		return
	}
	n.hasKept, n.told = true, p.Nodes
	k.answered, k.ratios = true, p.Ratios
	switch {
	case p.Sequence >= k.sequence:
		k.unanswered = 0
	case p.Sequence >= k.unanswered && k.unanswered != 0:
		k.unanswered, k.unansweredAt = p.Sequence+1, now
	}
	for name, u := range n.firms {
		if u.keeper != keeper {
			continue
		}
		u.ratio, u.bridgeUntil = k.ratio(name), time.Time{}
		if firm, known := firmOf(name); known {
			u.demand.rate(now, demandWindow)
			n.refill(u, firm)
		}
	}
}

// Overdue reports whether a keeper has left a report without an answer for so long that
// this node does not rely on it.
func (n *Node) Overdue(now time.Time, keeper string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.keepers[keeper]
	return k != nil && k.isOverdue(now)
}

// Drop ends the exchange with a keeper. What the keeper told of firms holds until the next
// one answers.
func (n *Node) Drop(keeper string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.keepers, keeper)
}

// Reassign asks anew which keeper each firm has. A new keeper is given the time of an
// answer; until then the node admits by what the one before has told, and at most half of
// its part of the burst or one request, since no keeper knows of it.
func (n *Node) Reassign(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, u := range n.firms {
		keeper := n.keeperOf(name)
		if keeper == u.keeper {
			continue
		}
		if n.wasAnswered(u.keeper) && !n.keepers[keeper].isReliable(now) {
			u.bridgeUntil = now.Add(answerTimeout)
			u.tokens = min(u.tokens, max(u.burstPart/2, 1))
		}
		u.keeper = keeper
	}
}

func (n *Node) wasAnswered(keeper string) bool {
	k := n.keepers[keeper]
	return k != nil && k.answered
}
