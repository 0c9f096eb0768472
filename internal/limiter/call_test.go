package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

// callRequest returns a call that has until deadlineMs, long after its soft deadline.
func callRequest(id uint64, softDeadlineMs, deadlineMs int) Request {
	r := softDeadlineRequest(id, "call", 2, softDeadlineMs)
	r.IsCall, r.Deadline = true, at(deadlineMs)
	return r
}

func TestCalls(t *testing.T) {
	t.Run("a call goes before requests of all priorities", func(t *testing.T) {
		g := busyGate(t)
		assert.Equal(t, g.Offer(at(101), softDeadlineRequest(2, "swap", 0, 500)).Verdict, VerdictQueued)
		assert.Equal(t, g.Offer(at(102), callRequest(3, 900, 1_000)).Verdict, VerdictQueued)
		assertStarts(t, g, 1, 3)
		assertStarts(t, g, 3, 2)
	})
	t.Run("a call waits beyond its soft deadline while its run can use the answer", func(t *testing.T) {
		g := busyGate(t)
		d := g.Offer(at(101), callRequest(2, 110, 500))
		assert.Equal(t, d.Verdict, VerdictQueued)
		assert.Equal(t, d.StartBy, at(485))
		assert.Equal(t, len(g.Expire(at(400)).Dropped), 0)
		assert.Equal(t, len(g.Expire(at(485)).Dropped), 1)
	})
	t.Run("a call takes the place of a caller's request in a full queue", func(t *testing.T) {
		g := busyGate(t)
		for id := range uint64(100) {
			g.Offer(at(101), softDeadlineRequest(10+id, "swap", 0, 20_000))
		}
		d := g.Offer(at(102), callRequest(2, 110, 500))
		assert.Equal(t, d.Verdict, VerdictQueued)
		assert.Equal(t, len(d.Changes.Dropped), 1)
		assert.Equal(t, d.Changes.Dropped[0].Reason, ReasonQueueFull)
	})
}

// TestCallsLeaveAShare replays calls that alone would fill a target for a second beside
// requests of callers, which must go on being served.
func TestCallsLeaveAShare(t *testing.T) {
	limits := softDeadlineLimits()
	limits.Slots = 10
	g := NewGate(limits)
	const callMs, requestMs = 40, 120
	type running struct {
		id     uint64
		endsAt int
	}
	var runs []running
	served := map[bool]int{}
	isCall := map[uint64]bool{}
	begin := func(now int, id uint64) {
		length := requestMs
		if isCall[id] {
			length = callMs
		}
		runs = append(runs, running{id, now + length})
	}
	offer := func(now int, r Request) {
		isCall[r.ID] = r.IsCall
		d := g.Offer(at(now), r)
		if d.Verdict == VerdictAdmitted {
			begin(now, r.ID)
		}
	}
	id := uint64(0)
	for now := range 2_000 {
		for i := 0; i < len(runs); i++ {
			if runs[i].endsAt > now {
				continue
			}
			ended := runs[i].id
			runs = append(runs[:i], runs[i+1:]...)
			i--
			served[isCall[ended]]++
			for _, started := range g.Done(at(now), ended, done()).Started {
				begin(now, started)
			}
		}
		// 300 calls a second need 12 of 10 slots, 30 requests a second 3.6.
		if now%10 < 3 {
			id++
			offer(now, Request{ID: id, Class: snapshotter.ClassShort, Route: "call", IsCall: true, SoftDeadline: at(now + 150), Deadline: at(now + 500)})
		}
		if now%33 == 0 {
			id++
			offer(now, Request{ID: id, Class: snapshotter.ClassShort, Route: "file", SoftDeadline: at(now + 800), Deadline: at(now + 2_000)})
		}
	}
	seconds := (2_000 * time.Millisecond).Seconds()
	asked := map[bool]float64{true: 300 * seconds, false: 30 * seconds}
	share := func(call bool) float64 { return float64(served[call]) / asked[call] }
	all := float64(served[true]+served[false]) / (asked[true] + asked[false])
	assert.Assert(t, share(false) > all/4, "requests %.2f, all %.2f", share(false), all)
	assert.Assert(t, share(true) > 0.6, "calls %.2f", share(true))
}
