package limiter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const fairSeed = 33

// manyFirms returns lookups of 82 firms, of which the first sends a fifth of all and
// the last one request in some seconds. Their limits are 1.6 times their usual. The rates sum up
// to the given load, in slots.
func manyFirms(slots float64, work time.Duration, hot int, extra float64) []flow {
	var flows []flow
	sum := 0.0
	for i := range 82 {
		sum += math.Pow(float64(i+1), -1.2)
	}
	perSecond := slots / work.Seconds() / sum
	for i := range 82 {
		rate := perSecond * math.Pow(float64(i+1), -1.2)
		f := flow{
			firm: fmt.Sprintf("firm-%02d", i), firmRate: int(math.Ceil(1.6 * rate)), route: "lookup", perSecond: rate,
			work: work, spread: 0.5, objective: time.Second, timeout: 6 * time.Second, returns: 2,
		}
		if i == hot {
			f.extra, f.to = extra, time.Minute
		}
		flows = append(flows, f)
	}
	return flows
}

// othersServed returns the share of the requests of all firms but the hot one that are
// answered in time.
func othersServed(l *load, hot int) float64 {
	all, own := l.sum("", ""), l.sum(fmt.Sprintf("firm-%02d", hot), "")
	return float64(all.inTime-own.inTime) / float64(all.asked-own.asked)
}

func TestHotFirm(t *testing.T) {
	const work = 300 * time.Millisecond
	for _, gates := range []int{1, 8} {
		t.Run(fmt.Sprintf("a firm at 15 times its usual beside 81 steady ones, %d gates", gates), func(t *testing.T) {
			l := replayLoad(fairSeed, gates, 18, manyFirms(0.9*18*float64(gates), work, 2, 15), 20*time.Second, 4*time.Second, 18*time.Second)
			assert.Assert(t, othersServed(l, 2) >= 0.9, "others %.3f", othersServed(l, 2))
			hot := l.sum("firm-02", "")
			assert.Assert(t, hot.served() >= 0.1, "unused room is lent: hot firm %+v", hot)
		})
	}
	t.Run("a large firm is served like all", func(t *testing.T) {
		l := replayLoad(fairSeed, 8, 18, manyFirms(1.3*18*8, work, -1, 0), 20*time.Second, 4*time.Second, 18*time.Second)
		all, large := l.sum("", ""), l.sum("firm-00", "")
		assert.Assert(t, large.served() >= all.served()*0.9, "large %.3f, all %.3f", large.served(), all.served())
	})
	t.Run("firms with few requests are served like all", func(t *testing.T) {
		l := replayLoad(fairSeed, 8, 18, manyFirms(1.3*18*8, work, -1, 0), 20*time.Second, 4*time.Second, 18*time.Second)
		all, few := l.sum("", ""), tally{}
		for i := 41; i < 82; i++ {
			own := l.sum(fmt.Sprintf("firm-%02d", i), "")
			few.asked, few.inTime, few.late = few.asked+own.asked, few.inTime+own.inTime, few.late+own.late
		}
		assert.Assert(t, few.served() >= all.served()*0.9, "few %.3f, all %.3f", few.served(), all.served())
	})
	t.Run("a less urgent firm is not starved by one of greater priority", func(t *testing.T) {
		flows := manyFirms(18, work, -1, 0)
		for i := range flows {
			flows[i].priority = min(i, 1)
			if i == 0 {
				flows[i].perSecond = 1.2 * 18 / work.Seconds()
			}
		}
		l := replayLoad(fairSeed, 1, 18, flows, 20*time.Second, 4*time.Second, 18*time.Second)
		all, first := l.sum("", ""), l.sum("firm-00", "")
		others := tally{asked: all.asked - first.asked, inTime: all.inTime - first.inTime, late: all.late - first.late}
		assert.Assert(t, others.served() >= all.served()/4, "others %.3f, all %.3f", others.served(), all.served())
		assert.Assert(t, first.served() > others.served(), "first %.3f, others %.3f", first.served(), others.served())
	})
}

// reportsAndCalls returns reports that double from 5 s to 12 s beside short calls, downloads
// and a steady load.
func reportsAndCalls(gates float64) []flow {
	return []flow{
		{route: "call", perSecond: 40 * gates, work: 78 * time.Millisecond, spread: 0.5, objective: 300 * time.Millisecond, timeout: time.Second},
		{
			firm: "firm", route: "download", priority: 1, perSecond: 4.7 * gates, work: 250 * time.Millisecond, spread: 0.5,
			objective: time.Second, timeout: 6 * time.Second, returns: 2,
		},
		{
			firm: "firm", route: "report", priority: 2, perSecond: 8 * gates, extra: 2, from: 5 * time.Second, to: 12 * time.Second,
			work: 1200 * time.Millisecond, spread: 0.3, objective: 6 * time.Second, timeout: 20 * time.Second, returns: 2,
		},
	}
}

func TestPatientWork(t *testing.T) {
	l := replayLoad(fairSeed, 8, 18, reportsAndCalls(8), 24*time.Second, 5*time.Second, 14*time.Second)
	t.Run("short calls do not wait behind long reports", func(t *testing.T) {
		calls := l.sum("", "call")
		assert.Assert(t, calls.servedFast() >= 0.98, "calls %+v", calls)
	})
	t.Run("downloads are served before reports", func(t *testing.T) {
		downloads := l.sum("", "download")
		assert.Assert(t, downloads.servedFast() >= 0.95, "downloads %+v", downloads)
	})
	t.Run("reports move behind the crowd", func(t *testing.T) {
		reports := l.sum("", "report")
		assert.Assert(t, reports.served() >= 0.9, "reports %+v", reports)
	})
	t.Run("reports are not starved while the others need all slots", func(t *testing.T) {
		flows := reportsAndCalls(1)
		flows[0].perSecond = 1.1 * 18 / flows[0].work.Seconds()
		l := replayLoad(fairSeed, 1, 18, flows, 20*time.Second, 4*time.Second, 18*time.Second)
		all, reports := l.sum("", ""), l.sum("", "report")
		assert.Assert(t, reports.served() >= all.served()/4, "reports %.3f, all %.3f", reports.served(), all.served())
	})
}
