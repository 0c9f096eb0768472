package pacer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

// wire is a link that sends what is written to it in order.
type wire struct {
	bytesPerSecond float64
	clearAt        time.Time
}

// send returns when the last of the bytes has left.
func (w *wire) send(now time.Time, bytes int) time.Time {
	if w.clearAt.Before(now) {
		w.clearAt = now
	}
	w.clearAt = w.clearAt.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return w.clearAt
}

// TestShortAnswersBesideLongOnes replays eight answers of 540 kB on a link of 11 Mbit/s while an
// answer of 400 bytes comes every millisecond.
func TestShortAnswersBesideLongOnes(t *testing.T) {
	const long, answers = 540_000, 8
	s := newSchedule(11)
	w := &wire{bytesPerSecond: 11e6 / 8}
	left := [answers]int{}
	for i := range left {
		left[i] = long
	}
	ask := func(now time.Time, id uint64) {
		for left[id] > 0 {
			n := min(s.pieceBytes(), left[id])
			if !s.ask(now, piece{id: id, bytes: n}) {
				return
			}
			left[id] -= n
			w.send(now, n)
		}
	}
	for id := range uint64(answers) {
		ask(start, id)
	}
	longest, ended := time.Duration(0), time.Time{}
	for ms := range 6_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for {
			id, ok := s.next(now)
			if !ok {
				break
			}
			n := min(s.pieceBytes(), left[id])
			left[id] -= n
			ended = w.send(now, n)
			ask(now, id)
		}
		if ms%20 == 0 {
			longest = max(longest, w.send(now, 400).Sub(now))
		}
	}
	t.Run("a short answer waits for two pieces at most", func(t *testing.T) {
		assert.Assert(t, longest <= 2*pieceTime, "%s", longest)
	})
	t.Run("the long ones lose a tenth of the link", func(t *testing.T) {
		alone := time.Duration(float64(answers*long) / w.bytesPerSecond * float64(time.Second))
		assert.Assert(t, left == [answers]int{}, "%v", left)
		assert.Assert(t, ended.Sub(start) <= alone*5/4, "%s for %s", ended.Sub(start), alone)
	})
}

func TestLink(t *testing.T) {
	t.Run("long answers share the link equally", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := New(11)
			var wg sync.WaitGroup
			var ended [4]time.Duration
			began := time.Now()
			for i := range ended {
				wg.Go(func() {
					for range 20 {
						assert.Check(t, l.wait(t.Context(), l.schedule.pieceBytes()))
					}
					ended[i] = time.Since(began)
				})
			}
			wg.Wait()
			// The first sends two pieces before the others ask: it may end up to three turns earlier.
			for i := range ended {
				assert.Assert(t, ended[i] >= 68*pieceTime && ended[i] <= 82*pieceTime, "%v", ended)
			}
		})
	})
	t.Run("an answer that is given up gives its turn to the next", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := New(11)
			assert.NilError(t, l.wait(t.Context(), 1<<20))
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { assert.Check(t, l.wait(ctx, 1<<20) != nil) })
			synctest.Wait()
			assert.Assert(t, l.Queue() > time.Second)
			wg.Go(func() { assert.Check(t, l.wait(t.Context(), 1<<10)) })
			synctest.Wait()
			cancel()
			wg.Wait()
			assert.Assert(t, l.Queue() < 2*pieceTime, "%s", l.Queue())
		})
	})
	t.Run("only long answers are paced", func(t *testing.T) {
		buf := make([]byte, 64<<10)
		l := New(11)
		assert.Equal(t, len(l.Pace(400).Piece(buf)), len(buf))
		assert.Assert(t, len(l.Pace(90_000).Piece(buf)) < 10_000)
		var unknown *Link
		assert.Equal(t, len(unknown.Pace(90_000).Piece(buf)), len(buf))
		assert.Equal(t, New(0), unknown)
		assert.Equal(t, unknown.Queue(), time.Duration(0))
		assert.NilError(t, unknown.Pace(90_000).Wait(t.Context(), 90_000))
	})
	t.Run("the start of an answer of unknown length goes at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := New(11)
			assert.NilError(t, l.wait(t.Context(), 1<<20))
			began, a := time.Now(), l.Pace(-1)
			for range 10 {
				assert.NilError(t, a.Wait(t.Context(), 1_000))
			}
			assert.Assert(t, time.Since(began) == 0)
			assert.NilError(t, a.Wait(t.Context(), 8_000))
			assert.Assert(t, time.Since(began) > 500*time.Millisecond)
		})
	})
}

func BenchmarkWait(b *testing.B) {
	l := New(1_000_000_000)
	b.ReportAllocs()
	for b.Loop() {
		_ = l.wait(b.Context(), 1)
	}
}

// TestLateProcess sends one answer of 90 kB from a process that is 4 ms late with each piece,
// which must not add up to twice the time that the answer takes.
func TestLateProcess(t *testing.T) {
	s, now := newSchedule(11), start
	left := 90_000
	for left > 0 {
		n := min(s.pieceBytes(), left)
		if !s.ask(now, piece{id: 1, bytes: n}) {
			now = s.nextAt().Add(4 * time.Millisecond)
			_, ok := s.next(now)
			assert.Assert(t, ok)
		}
		left -= n
		now = now.Add(4 * time.Millisecond)
	}
	alone := s.duration(90_000)
	assert.Assert(t, now.Sub(start) <= alone*5/4, "%s for %s", now.Sub(start), alone)
}
