package limiter

import (
	"math"
	"time"
)

const (
	// maxTrackedFirms bounds the firms whose use a gate remembers.
	maxTrackedFirms = 1024
	// evictionSample is how many firms are compared to find one that used little.
	evictionSample = 8
	// useDeviations times the square root of the requests in a firm's part, and one request
	// more, is how far its use may exceed the part by chance.
	useDeviations = 2
	// maxExcess is the greatest excess that is told apart.
	maxExcess = 3
	// minCost is the least cost of a request, for targets that answer at once.
	minCost = time.Millisecond
)

// firmUse is what a firm has used of a target.
type firmUse struct {
	name string
	// rate is the firm's limit in requests a second, its weight; 0 if it has none.
	rate float64
	// use is the decaying sum of the expected service times of its requests that started,
	// in seconds.
	use    float64
	seenAt time.Time
	// running and waiting count its requests that hold a slot and that wait.
	running, waiting int
}

// fairParts decides which firms have used more than their part of a target.
//
// The load pattern: one firm among many sends many times its usual while the target has
// too little room for all. By priority and deadline alone its requests are served like
// those of the others, so that each of them loses as large a share of its own.
type fairParts struct {
	firms map[string]*firmUse
	// limited counts the firms with a rate, and rateSum sums the rates.
	limited int
	rateSum float64
	// use sums that of all firms; started is the decaying count of their requests.
	use, started float64
	nextForget   time.Time
}

func newFairParts() fairParts { return fairParts{firms: map[string]*firmUse{}} }

func (p *fairParts) rescale(by float64) {
	for _, f := range p.firms {
		f.use *= by
	}
	p.use, p.started = p.use*by, p.started*by
}

// firm returns the use of a firm that sends a request; nil for requests of no firm.
func (p *fairParts) firm(now time.Time, name string, rate int) *firmUse {
	if name == "" {
		return nil
	}
	f := p.firms[name]
	if f == nil {
		if len(p.firms) >= maxTrackedFirms {
			p.evict()
		}
		f = &firmUse{name: name}
		p.firms[name] = f
	}
	f.seenAt = now
	if float64(rate) != f.rate {
		p.setRate(f, float64(rate))
	}
	return f
}

func (p *fairParts) setRate(f *firmUse, rate float64) {
	if f.rate > 0 {
		p.limited--
	}
	if rate > 0 {
		p.limited++
	}
	p.rateSum += rate - f.rate
	if p.limited == 0 {
		p.rateSum = 0
	}
	f.rate = rate
}

// evict forgets the firm with the least use among a few.
func (p *fairParts) evict() {
	var least *firmUse
	n := 0
	for _, f := range p.firms {
		if least == nil || f.use < least.use {
			least = f
		}
		if n++; n == evictionSample {
			break
		}
	}
	p.remove(least)
}

func (p *fairParts) remove(f *firmUse) {
	p.setRate(f, 0)
	p.use = max(p.use-f.use, 0)
	delete(p.firms, f.name)
}

// forget drops the firms of which no request came for twice the window. It does so
// once a window.
func (p *fairParts) forget(now time.Time) bool {
	if now.Before(p.nextForget) {
		return false
	}
	p.nextForget = now.Add(useWindow)
	for _, f := range p.firms {
		if f.running+f.waiting == 0 && now.Sub(f.seenAt) > 2*useWindow {
			p.remove(f)
		}
	}
	return true
}

// recordStart charges a request that starts to its firm.
func (p *fairParts) recordStart(f *firmUse, weight float64, expected time.Duration) {
	if f == nil {
		return
	}
	cost := weight * max(expected, minCost).Seconds()
	f.use += cost
	f.running++
	p.use += cost
	p.started += weight
}

// meanRate is the weight of a firm without a limit.
func (p *fairParts) meanRate() float64 {
	if p.limited == 0 {
		return 1
	}
	return p.rateSum / float64(p.limited)
}

// excess returns 0 for a firm within its part of the target, and more the further it
// is beyond it, up to maxExcess. Requests of no firm are always within it.
func (p *fairParts) excess(f *firmUse, factor float64) int {
	if f == nil || len(p.firms) < 2 || p.use <= 0 || p.started <= 0 {
		return 0
	}
	mean := p.meanRate()
	rate := f.rate
	if rate == 0 {
		rate = mean
	}
	// Both in requests of the mean cost.
	cost := p.use / p.started * factor
	part := p.use * rate / (mean * float64(len(p.firms))) / cost
	used := f.use / cost
	allowed := part + useDeviations*math.Sqrt(part) + 1
	switch {
	case used <= allowed:
		return 0
	case used <= 2*allowed:
		return 1
	case used <= 4*allowed:
		return 2
	}
	return maxExcess
}
