package pacer

import (
	"context"
	"sync"
	"time"
)

// LongAnswerBytes is the size above which an answer is sent in paced pieces.
const LongAnswerBytes = 16 << 10

// Link paces the long answers that leave this host. A nil Link does not pace. It is safe for
// concurrent use.
type Link struct {
	mu sync.Mutex
	// schedule, waiters and lastID are guarded by mu.
	schedule schedule
	// waiters holds a channel for each waiting piece.
	waiters map[uint64]chan struct{}
	lastID  uint64
	// timer lets the next waiting piece go; nil before one has waited. Guarded by mu.
	timer *time.Timer
}

// New returns a Link for a host whose link has the given speed in Mbit/s, or nil if the speed
// is not known.
func New(linkMbit int) *Link {
	if linkMbit <= 0 {
		return nil
	}
	return &Link{schedule: newSchedule(linkMbit), waiters: map[uint64]chan struct{}{}}
}

// Answer is an answer that is sent over a link. It is used by one goroutine.
type Answer struct {
	link *Link
	// free is how many further bytes go at once.
	free int
}

// Pace returns an answer of the given length, which is -1 if unknown. A short one goes at
// once, as does the start of one whose length is unknown.
func (l *Link) Pace(length int64) *Answer {
	switch {
	case l == nil || length >= 0 && length <= LongAnswerBytes:
		return &Answer{}
	case length < 0:
		return &Answer{link: l, free: LongAnswerBytes}
	default:
		return &Answer{link: l}
	}
}

// Piece returns the part of a buffer that holds one piece of the answer.
func (a *Answer) Piece(buf []byte) []byte {
	if a.link == nil {
		return buf
	}
	return buf[:min(a.link.schedule.pieceBytes(), len(buf))]
}

// Wait returns when a piece of the answer may go, or when the context ends.
func (a *Answer) Wait(ctx context.Context, bytes int) error {
	if a.link == nil {
		return nil
	}
	if a.free >= bytes {
		a.free -= bytes
		return nil
	}
	return a.link.wait(ctx, bytes)
}

// wait returns when a piece may go, or when the context ends.
func (l *Link) wait(ctx context.Context, bytes int) error {
	l.mu.Lock()
	l.lastID++
	id := l.lastID
	now := time.Now()
	if l.schedule.ask(now, piece{id: id, bytes: bytes}) {
		l.mu.Unlock()
		return nil
	}
	ch := make(chan struct{})
	l.waiters[id] = ch
	l.setTimer(now)
	l.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiters, id)
		l.schedule.forget(id)
		return ctx.Err()
	}
}

// setTimer wakes the link when the next piece may go. The caller holds mu.
func (l *Link) setTimer(now time.Time) {
	wait := l.schedule.nextAt().Sub(now)
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.letGo)
		return
	}
	l.timer.Reset(wait)
}

func (l *Link) letGo() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for {
		id, ok := l.schedule.next(now)
		if !ok {
			break
		}
		if ch := l.waiters[id]; ch != nil {
			delete(l.waiters, id)
			close(ch)
		}
	}
	if len(l.schedule.waiting) > 0 {
		l.setTimer(now)
	}
}

// Queue returns for how long a further piece would wait; 0 without a known speed.
func (l *Link) Queue() time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.schedule.wait(time.Now())
}
