package pacer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

const linkMbit = 11

// link is a link that sends what it is given in order.
type link struct {
	pacer  *Pacer
	freeAt time.Time
	nextID uint64
	// left holds the bytes of each long answer that have not passed, by its number, and
	// endedAt when its last piece was sent.
	left    map[int]int
	current map[uint64]int
	endedAt map[int]time.Time
}

func newLink() *link {
	return &link{pacer: New(linkMbit), left: map[int]int{}, current: map[uint64]int{}, endedAt: map[int]time.Time{}}
}

// send gives bytes to the link and returns when they have been sent.
func (l *link) send(now time.Time, bytes int) time.Time {
	l.pacer.RecordSent(now, bytes)
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) * 8 / (linkMbit * 1e6) * float64(time.Second)))
	return l.freeAt
}

// add makes the next piece of a long answer wait.
func (l *link) add(answer int, deadline time.Time) {
	piece := min(l.left[answer], PieceBytes)
	if piece == 0 {
		return
	}
	l.nextID++
	l.current[l.nextID] = answer
	l.pacer.Add(Piece{ID: l.nextID, Bytes: piece, Deadline: deadline})
}

// pass lets the pieces pass that may.
func (l *link) pass(now time.Time) {
	for {
		piece, ok := l.pacer.Next(now)
		if !ok {
			return
		}
		answer := l.current[piece.ID]
		l.left[answer] -= piece.Bytes
		l.endedAt[answer] = l.send(now, piece.Bytes)
		l.add(answer, piece.Deadline)
	}
}

// TestLongAnswers replays eight answers of 90 kB that are made at once at a host with a
// link of 11 Mbit/s, beside an answer of a call every 10 ms.
func TestLongAnswers(t *testing.T) {
	const answers, answerBytes, callBytes = 8, 90_000, 700
	l := newLink()
	for n := range answers {
		l.left[n] = answerBytes
		// The last one has the earliest deadline.
		l.add(n, at(1000-n))
	}
	longest := time.Duration(0)
	for ms := range 700 {
		l.pass(at(ms))
		if ms%10 == 5 {
			longest = max(longest, l.send(at(ms), callBytes).Sub(at(ms)))
		}
	}
	t.Run("answers of calls wait for a piece at most", func(t *testing.T) {
		assert.Assert(t, longest < 15*time.Millisecond, "%s", longest)
	})
	t.Run("the link is used", func(t *testing.T) {
		assert.Assert(t, !l.endedAt[0].IsZero() && l.left[0] == 0, "%d bytes left", l.left[0])
	})
	t.Run("answers end one after the other by their deadlines", func(t *testing.T) {
		for n := 1; n < answers; n++ {
			assert.Assert(t, l.endedAt[n].Before(l.endedAt[n-1]), "answer %d", n)
		}
		assert.Assert(t, l.endedAt[answers-1].Before(at(90)), "%s", l.endedAt[answers-1].Sub(start))
	})
}

func TestPacer(t *testing.T) {
	t.Run("short answers alone do not hold back long ones for ever", func(t *testing.T) {
		p := New(linkMbit)
		p.Add(Piece{ID: 1, Bytes: PieceBytes})
		p.RecordSent(at(0), 10<<20)
		_, ok := p.Next(at(0))
		assert.Assert(t, !ok)
		_, ok = p.Next(at(0).Add(maxDebt))
		assert.Assert(t, ok)
	})
	t.Run("the bytes of a piece count once", func(t *testing.T) {
		p := New(linkMbit)
		p.Add(Piece{ID: 1, Bytes: PieceBytes})
		_, ok := p.Next(at(0))
		assert.Assert(t, ok)
		before := p.NextAt()
		p.RecordSent(at(1), PieceBytes)
		assert.Assert(t, p.NextAt().Equal(before))
		p.RecordSent(at(1), 100)
		assert.Assert(t, p.NextAt().After(before))
	})
	t.Run("a piece that no longer waits does not pass", func(t *testing.T) {
		p := New(linkMbit)
		p.Add(Piece{ID: 1, Bytes: PieceBytes})
		p.Remove(1)
		_, ok := p.Next(at(0))
		assert.Assert(t, !ok)
	})
}
