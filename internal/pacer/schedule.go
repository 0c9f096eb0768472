// Package pacer decides when the next piece of a long answer goes onto the link of this
// host, so that short answers do not wait behind it.
//
// The load pattern: answers of 90 kB and more share a link of 11 Mbit/s with answers of
// 400 bytes, some of calls that must end within 150 ms. Whatever has been written to sockets
// is sent in order, so that eight long answers with full socket buffers delay each short one by
// hundreds of milliseconds. Here they are cut into pieces that are let go at a little less
// than the speed of the link, so that no more than two pieces are queued in front of
// a short answer. Short answers are not held back: they are a small part of the bytes.
package pacer

import "time"

const (
	// longShare is the share of the link that long answers use at most. The rest drains
	// what short answers and lower layers add.
	longShare = 0.9
	// pieceTime is for how long one piece occupies the link, and so about how long a short
	// answer waits for it.
	pieceTime = 6 * time.Millisecond
	// minPieceBytes and maxPieceBytes bound the pieces: smaller ones cost more processor
	// time than they save, larger ones hold more memory.
	minPieceBytes = 4 << 10
	maxPieceBytes = 64 << 10
	// maxAhead is how much of what was let go may still be on its way when the next piece
	// goes, so that the link does not stand idle while the process wakes up.
	maxAhead = pieceTime
	// maxCatchUp is how much time of the link a process makes up for that wakes up late, or
	// is late with the next piece of the only answer. Time without long answers does not count.
	maxCatchUp = 2 * pieceTime
)

// schedule decides when pieces go onto a link. It has no clock and is not safe for
// concurrent use. Pieces go in the order in which they were asked for, so that long answers
// share the link equally.
type schedule struct {
	// bytesPerSecond of long answers; above 0.
	bytesPerSecond float64
	// clearAt is when the pieces that were let go have left the link.
	clearAt time.Time
	waiting []piece
	// waitingBytes sums the sizes of the waiting pieces.
	waitingBytes int
}

// piece waits until it may go.
type piece struct {
	id    uint64
	bytes int
}

func newSchedule(linkMbit int) schedule {
	return schedule{bytesPerSecond: longShare * float64(linkMbit) * 1e6 / 8}
}

// pieceBytes returns the size into which long answers are cut.
func (s *schedule) pieceBytes() int {
	return min(max(int(s.bytesPerSecond*pieceTime.Seconds()), minPieceBytes), maxPieceBytes)
}

// ask reports whether a piece may go at once; otherwise it waits.
func (s *schedule) ask(now time.Time, p piece) bool {
	if len(s.waiting) == 0 && s.isOpen(now) {
		if now.Sub(s.clearAt) > maxCatchUp {
			s.clearAt = now
		}
		s.letGo(now, p.bytes)
		return true
	}
	s.waiting = append(s.waiting, p)
	s.waitingBytes += p.bytes
	return false
}

// next returns the id of a waiting piece that may go now; false if there is none.
func (s *schedule) next(now time.Time) (uint64, bool) {
	if len(s.waiting) == 0 || !s.isOpen(now) {
		return 0, false
	}
	p := s.waiting[0]
	s.waiting = s.waiting[1:]
	s.waitingBytes -= p.bytes
	s.letGo(now, p.bytes)
	return p.id, true
}

// nextAt returns when the next waiting piece may go.
func (s *schedule) nextAt() time.Time { return s.clearAt.Add(-maxAhead) }

// forget removes a waiting piece that is no longer to be sent. It reports whether it waited.
func (s *schedule) forget(id uint64) bool {
	for i, p := range s.waiting {
		if p.id == id {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			s.waitingBytes -= p.bytes
			return true
		}
	}
	return false
}

// wait returns for how long a further piece would wait.
func (s *schedule) wait(now time.Time) time.Duration {
	return max(s.clearAt.Sub(now), 0) + s.duration(s.waitingBytes)
}

// isOpen reports whether the link has sent nearly all of what was let go.
func (s *schedule) isOpen(now time.Time) bool { return !now.Before(s.nextAt()) }

// letGo counts a piece as sent. It makes up for some of the time in which the link stood idle.
func (s *schedule) letGo(now time.Time, bytes int) {
	if earliest := now.Add(-maxCatchUp); s.clearAt.Before(earliest) {
		s.clearAt = earliest
	}
	s.clearAt = s.clearAt.Add(s.duration(bytes))
}

func (s *schedule) duration(bytes int) time.Duration {
	return time.Duration(float64(bytes) / s.bytesPerSecond * float64(time.Second))
}
