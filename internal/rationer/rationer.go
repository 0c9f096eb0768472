// Package rationer decides which requests of a firm run, so that the firm keeps its
// limit over all nodes. It does no I/O and reads no clock.
//
// It answers a load in which a firm that sends a few requests a second to each of many
// nodes suddenly sends seven to fifteen times as many, and limits that fall below what
// a firm sends, while most firms send too little to a node to be counted there.
//
// Node decides at the node that a request reaches, without waiting, and counts what it
// decided. Keeper counts for a data centre what nodes report, and tells them the share
// of the requests to admit:
//
//	retryAt, ok := node.Take(now, firm)
//	pace := keeper.Receive(now, host, node.Report(now, keeperHost))
//	node.Apply(now, keeperHost, pace)
//
// Each node stands for an equal part of each limit and hands it over with its reports.
// So the parts in use add up to at most the whole, whichever nodes reach each other.
package rationer

import (
	"math"
	"time"
)

// Firm is a firm with its limit.
type Firm struct {
	Name string
	// Rate is in requests a second; 0 means no limit.
	Rate float64
	// Burst is how many requests may come at once.
	Burst float64
}

// Margin is what may be admitted beyond a firm's limit. The zero value allows nothing.
type Margin struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Overage is a share of what a limit allows within Window.
	Overage float64
	// Slack is a number of requests within Window.
	Slack float64
}

// slackInBurst is the share of the slack that is added to a burst. Firms whose part of
// the burst is about one request in a data centre need it for requests that come
// together; the rest is for what is admitted before nodes hear that a limit is reached.
const slackInBurst = 0.25

// burst returns the size of the bucket of a whole firm.
func (m Margin) burst(f Firm) float64 { return f.Burst + slackInBurst*m.Slack }

// reportInterval is the time between two reports of a node that has something to tell. With
// the delays of messages, a firm that exceeds its limit is noticed in half of the time in
// which it uses up its burst.
const reportInterval = 200 * time.Millisecond

// keepersAtFullPace is how many keepers a data centre may have for a node to report to each
// in reportInterval. With more the interval grows, so that the messages of a node do not:
// firms that are spread over so many nodes use up less of their burst at each.
const keepersAtFullPace = 8

// ReportInterval returns the time between two reports to one of a number of keepers.
func ReportInterval(keepers int) time.Duration {
	return reportInterval * time.Duration(max(keepersAtFullPace, keepers)) / keepersAtFullPace
}

// BeatInterval returns the longest time between two reports at a report interval, so that
// the part of a node counts at the keeper.
func BeatInterval(interval time.Duration) time.Duration { return 5 * interval / 2 }

// partIntervals is for how many report intervals a part counts at a keeper after a report.
const partIntervals = 6

// Use counts the requests of a firm at a node since its report before.
type Use struct {
	Firm string
	// Used counts admitted requests less those that no target has run; it may be negative.
	Used int
	// Refused counts the requests beyond the limit.
	Refused int
	// Limited is set when the node knows from another keeper that the firm is at its limit.
	Limited bool
}

// Report tells a keeper what a node did.
type Report struct {
	// Sequence is greater than that of the report before to the same keeper.
	Sequence uint64
	Uses     []Use
	// Interval is the time between two reports that have something to tell.
	Interval time.Duration
	// Nodes is how many nodes the sender knows in all data centres, itself included; 0
	// when it cannot tell.
	Nodes int
}

// Pace answers a report.
type Pace struct {
	// Sequence is that of the latest report.
	Sequence uint64
	// Ratios holds the share of requests to admit by firm. Firms that are not in it are
	// below their limits.
	Ratios map[string]float64
	// Nodes is how many nodes the keeper knows in all data centres.
	Nodes int
}

// flow estimates how many events happen in a second, with an exponential window.
type flow struct {
	// since is when counting began. The first events are told apart from a window of which
	// the rest is empty.
	since time.Time
	// perSecond is the estimate at the time at, as if there had been none before since.
	perSecond float64
	at        time.Time
}

func newFlow(now time.Time) flow { return flow{since: now, at: now} }

// minFlowPeriod is the shortest time over which the first events are averaged: that between
// two reports.
const minFlowPeriod = 200 * time.Millisecond

// rate returns the events a second at the time.
func (e *flow) rate(now time.Time, window time.Duration) float64 {
	if d := now.Sub(e.at); d > 0 {
		e.perSecond *= math.Exp(-float64(d) / float64(window))
		e.at = now
	}
	counted := max(now.Sub(e.since), minFlowPeriod)
	if counted > 5*window {
		return e.perSecond
	}
	return e.perSecond / (1 - math.Exp(-float64(counted)/float64(window)))
}

func (e *flow) add(now time.Time, events float64, window time.Duration) {
	e.rate(now, window)
	e.perSecond += events / window.Seconds()
}
