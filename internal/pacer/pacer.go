// Package pacer spreads long answers over the link of a host, so that short ones do not
// wait behind them.
//
// Load pattern: answers of 90 kB, up to 540 kB, share a link of 11 Mbit/s with the answers
// of calls that have 150 ms. What has been given to the link is sent in order. Written at
// once, a long answer keeps it for 65 to 400 ms, in which calls of runs elsewhere wait.
//
// A Pacer lets a piece of a long answer pass once the link has nearly sent what it was
// given before; short answers are never held back. Among long answers the one with the
// earliest deadline goes first: sharing the link evenly would make all of them late.
//
// A Pacer has no I/O and no clock. It is not safe for concurrent use; Sync is.
package pacer

import (
	"time"
)

const (
	// PieceBytes is the largest piece of a long answer; a link of 11 Mbit/s takes 6 ms for it.
	PieceBytes = 8 << 10
	// maxAhead is how much of the time of the link may have been given out when another
	// piece passes. It covers the time in which the process gets to run again.
	maxAhead = 4 * time.Millisecond
	// maxDebt bounds for how long short answers alone hold back long ones.
	maxDebt = 50 * time.Millisecond
	// usableShare is the share of the link for the bytes that are counted. The rest is for
	// the headers of packets, acknowledgements and repeated packets.
	usableShare = 0.9
)

// Piece is a part of a long answer that waits to pass.
type Piece struct {
	// ID is unique among the pieces that wait.
	ID    uint64
	Bytes int
	// Deadline orders the pieces.
	Deadline time.Time
}

// Pacer decides when pieces pass.
type Pacer struct {
	// bytesPerSecond is the usable rate of the link.
	bytesPerSecond float64
	// freeAt is when the link has sent all that it was given.
	freeAt time.Time
	// granted counts the bytes that have passed and are not known to have been given to the
	// link yet.
	granted int
	waiting []Piece
}

// New returns a Pacer of a link with the given speed in Mbit/s.
func New(mbit int) *Pacer {
	return &Pacer{bytesPerSecond: float64(mbit) * 1e6 / 8 * usableShare}
}

// Add adds a piece that waits.
func (p *Pacer) Add(piece Piece) { p.waiting = append(p.waiting, piece) }

// Remove removes a piece that no longer waits.
func (p *Pacer) Remove(id uint64) {
	for i := range p.waiting {
		if p.waiting[i].ID == id {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// RecordSent records bytes that were given to the link, of long answers and others.
func (p *Pacer) RecordSent(now time.Time, bytes int) {
	known := min(bytes, p.granted)
	p.granted -= known
	p.occupy(now, bytes-known)
	if limit := now.Add(maxDebt); p.freeAt.After(limit) {
		p.freeAt = limit
	}
}

// Next removes and returns a piece that passes now; false if there is none.
func (p *Pacer) Next(now time.Time) (Piece, bool) {
	if len(p.waiting) == 0 || p.NextAt().After(now) {
		return Piece{}, false
	}
	first := 0
	for i := range p.waiting {
		if p.waiting[i].Deadline.Before(p.waiting[first].Deadline) {
			first = i
		}
	}
	piece := p.waiting[first]
	p.Remove(piece.ID)
	p.granted += piece.Bytes
	p.occupy(now, piece.Bytes)
	return piece, true
}

// NextAt returns when a piece may pass.
func (p *Pacer) NextAt() time.Time { return p.freeAt.Add(-maxAhead) }

// TimeFor returns how long the link takes for the bytes.
func (p *Pacer) TimeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second))
}

func (p *Pacer) occupy(now time.Time, bytes int) {
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(p.TimeFor(bytes))
}
