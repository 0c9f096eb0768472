package acceptor

import (
	"io"
	"time"
)

// limitedReader bounds the bytes that are read for the headers of a request, and
// estimates when what it returns has arrived.
type limitedReader struct {
	r io.Reader
	// remaining is how many bytes may still be read; a negative value means no limit.
	remaining int
	// limitReached tells whether a read was refused because of the limit.
	limitReached bool
	// err is the error of the latest read.
	err error
	// delay returns how late this process runs.
	delay func() time.Duration
	// arrivedAt is when the bytes of the latest read arrived, by estimate. It lies before
	// readAt if they lay unread while the process waited for the processor.
	arrivedAt time.Time
	// readAt is the end of the latest read. Before the first one it is when the connection
	// was opened.
	readAt time.Time
}

// blockedReadTime is the time from which on a read counts as one that waited for bytes.
const blockedReadTime = time.Millisecond

// setLimit allows n further bytes and a full read buffer, which may also hold what follows the headers.
func (s *limitedReader) setLimit(n int) {
	s.remaining, s.limitReached, s.err = n+readBufferBytes, false, nil
}

func (s *limitedReader) removeLimit() { s.remaining = -1 }

func (s *limitedReader) isLimitReached() bool { return s.limitReached }

// Read returns io.EOF when the limit is reached.
func (s *limitedReader) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		s.limitReached = true
		return 0, io.EOF
	}
	if s.remaining > 0 && len(p) > s.remaining {
		p = p[:s.remaining]
	}
	start := time.Now()
	n, err := s.r.Read(p)
	s.err = err
	s.recordArrival(start, time.Now())
	if s.remaining > 0 {
		s.remaining -= n
	}
	return n, err
}

// recordArrival estimates when the bytes of a read arrived. Bytes that did not have to be
// waited for came at any time since the read before.
func (s *limitedReader) recordArrival(start, end time.Time) {
	s.arrivedAt = s.readAt
	if end.Sub(start) >= blockedReadTime {
		s.arrivedAt = end.Add(-s.delay())
		if s.arrivedAt.Before(start) {
			s.arrivedAt = start
		}
	}
	s.readAt = end
}
