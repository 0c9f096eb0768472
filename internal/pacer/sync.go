package pacer

import (
	"context"
	"sync"
	"time"
)

// Sync wraps a Pacer for concurrent use. Senders of long answers block in Wait.
type Sync struct {
	mu sync.Mutex
	// pacer is guarded by mu.
	pacer *Pacer
	// passed holds a channel for each piece that waits. Guarded by mu.
	passed map[uint64]chan struct{}
	// lastID is the ID of the latest piece. Guarded by mu.
	lastID uint64
	// timer lets the next piece pass; nil before one has waited. Guarded by mu.
	timer *time.Timer
	// expected counts the bytes of long answers that are being made or sent. Guarded by mu.
	expected int
}

// NewSync returns a Sync around a new Pacer.
func NewSync(mbit int) *Sync {
	return &Sync{pacer: New(mbit), passed: map[uint64]chan struct{}{}}
}

// Wait waits until a piece may be given to the link, or ctx ends.
func (s *Sync) Wait(ctx context.Context, deadline time.Time, bytes int) error {
	ch, id := s.add(deadline, bytes)
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		s.remove(id)
		return ctx.Err()
	}
}

func (s *Sync) add(deadline time.Time, bytes int) (ch chan struct{}, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ch = make(chan struct{})
	s.passed[s.lastID] = ch
	s.pacer.Add(Piece{ID: s.lastID, Bytes: bytes, Deadline: deadline})
	s.advance()
	return ch, s.lastID
}

func (s *Sync) remove(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacer.Remove(id)
	delete(s.passed, id)
}

// advance lets pieces pass and sets the timer for the next one. The caller holds mu.
func (s *Sync) advance() {
	now := time.Now()
	for {
		piece, ok := s.pacer.Next(now)
		if !ok {
			break
		}
		close(s.passed[piece.ID])
		delete(s.passed, piece.ID)
	}
	switch {
	case len(s.passed) == 0:
	case s.timer == nil:
		s.timer = time.AfterFunc(s.pacer.NextAt().Sub(now), s.wake)
	default:
		s.timer.Reset(s.pacer.NextAt().Sub(now))
	}
}

func (s *Sync) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}

// RecordSent records bytes that were given to the link.
func (s *Sync) RecordSent(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pacer.RecordSent(time.Now(), bytes)
}

// Expect adds the bytes of a long answer that will be sent, or with a negative number
// removes them.
func (s *Sync) Expect(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected += bytes
}

// SentAt returns when a further long answer of the given size will have been sent, and
// whether others are expected before it.
func (s *Sync) SentAt(now time.Time, bytes int) (at time.Time, queued bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Add(s.pacer.TimeFor(s.expected + bytes)), s.expected > 0
}
