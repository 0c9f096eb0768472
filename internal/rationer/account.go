package rationer

import "time"

// account is the bucket of a firm at its keeper.
type account struct {
	// share is the part of the limit that the bucket has by its nodes.
	share float64
	// level is how many requests may come at once, at the time at. It is negative when too
	// many were admitted.
	level float64
	at    time.Time
	// demand counts admitted and refused requests.
	demand  flow
	lastUse time.Time
	// limited is true while the firm is near its limit or beyond it; ratio counts only then.
	limited bool
	ratio   float64
	// lent holds the loans to other data centres, by data centre; borrowed those from others.
	lent, borrowed map[string]loan
}

// loan is a part of a firm's rate that another data centre uses.
type loan struct {
	rate float64
	// endsAt is when the loan no longer counts.
	endsAt time.Time
}

// rate returns the requests a second that the data centre may use.
func (a *account) rate(now time.Time, firm Firm) float64 {
	rate := a.share * firm.Rate
	for from, l := range a.borrowed {
		if now.Before(l.endsAt) {
			rate += l.rate
		} else {
			delete(a.borrowed, from)
		}
	}
	for to, l := range a.lent {
		if now.Before(l.endsAt) {
			rate -= l.rate
		} else {
			delete(a.lent, to)
		}
	}
	return max(rate, 0)
}

// advance fills the bucket up to now. A part that comes brings the level of a new keeper.
// One that goes takes a full one with it, as its node may use that elsewhere.
func (a *account) advance(now time.Time, firm Firm, margin Margin, share float64) {
	size := margin.burst(firm)
	switch {
	case share > a.share:
		a.level += (share - a.share) * size * startLevel
	case share < a.share:
		a.level -= (a.share - share) * size
	}
	a.share = share
	if d := now.Sub(a.at); d > 0 {
		a.level += a.rate(now, firm) * d.Seconds()
		a.at = now
	}
	a.level = min(a.level, share*size)
}

// decide sets the ratio. A firm becomes limited while something of its burst is left, as
// nodes hear of it late.
func (a *account) decide(now time.Time, firm Firm, margin Margin) {
	rate := a.rate(now, firm)
	demand := a.demand.rate(now, keeperDemandWindow)
	size := a.share * margin.burst(firm)
	expected := a.level - max(demand-rate, 0)*lag.Seconds()
	pace := rate + a.level/paceWindow.Seconds()
	if a.level < 0 {
		pace = rate + a.level/debtWindow.Seconds()
	}
	a.ratio = 1
	if demand > pace {
		a.ratio = max(pace, 0) / demand
	}
	switch {
	case !a.limited:
		a.limited = expected < limitLevel*size && a.ratio < 1
	case a.level > releaseLevel*size && a.ratio == 1:
		a.limited = false
	}
}
