package rationer

import "time"

const (
	// loanPeriod is how long a loan counts at the borrower from when it asked, and
	// lenderMargin how much longer it counts at the lender from when it answered. Keepers ask
	// anew each LoanInterval.
	loanPeriod   = 1500 * time.Millisecond
	lenderMargin = 500 * time.Millisecond
	// LoanInterval is how often a keeper asks for a loan for a limited firm.
	LoanInterval = time.Second
	// loanReserve is the share beyond its own demand that a lender keeps and a borrower asks for.
	loanReserve = 0.25
)

// Wish is the rate that a firm lacks in a data centre.
type Wish struct {
	Firm string
	// Rate is in requests a second.
	Rate float64
}

// Wishes returns what the firms of this keeper lack beyond its own part, of those that are
// limited or have loans. A little more than the demand is asked for, as it varies.
func (k *Keeper) Wishes(now time.Time) []Wish {
	k.mu.Lock()
	defer k.mu.Unlock()
	var wishes []Wish
	for name, a := range k.accounts {
		firm, known := k.firmOf(name)
		if !known || !a.limited && len(a.borrowed) == 0 {
			continue
		}
		lack := (1+loanReserve)*a.demand.rate(now, keeperDemandWindow) - a.share*firm.Rate
		if lack > 0 {
			wishes = append(wishes, Wish{Firm: name, Rate: lack})
		}
	}
	return wishes
}

// Lend returns the rate that this keeper lends to that of another data centre, and uses
// that much less from now on. Demand of its own goes first.
func (k *Keeper) Lend(now time.Time, borrower string, w Wish) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	firm, known := k.firmOf(w.Firm)
	if !known || firm.Rate == 0 || w.Rate <= 0 || now.Sub(k.startedAt) < settleTime || now.Sub(k.lastReport) > restTimeout {
		return 0
	}
	a := k.account(now, firm)
	a.advance(now, firm, k.margin, k.share())
	if a.limited {
		return 0
	}
	a.lastUse = now
	before := a.lent[borrower]
	if !now.Before(before.endsAt) {
		before = loan{}
	}
	spare := a.rate(now, firm) + before.rate - (1+loanReserve)*a.demand.rate(now, keeperDemandWindow)
	rate := max(min(w.Rate, spare), 0)
	if rate == 0 {
		return 0
	}
	// The borrower may not hear of this answer and go on with the loan before.
	a.lent[borrower] = loan{rate: max(rate, before.rate), endsAt: now.Add(loanPeriod + lenderMargin)}
	return rate
}

// Borrow enters a loan that was asked for at askedAt.
func (k *Keeper) Borrow(askedAt time.Time, lender, firm string, rate float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.accounts[firm]
	if a == nil {
		return
	}
	a.borrowed[lender] = loan{rate: rate, endsAt: askedAt.Add(loanPeriod)}
}
