package acceptor

import "io"

// limitedReader bounds the bytes that are read for the headers of a request.
type limitedReader struct {
	r io.Reader
	// remaining is how many bytes may still be read; a negative value means no limit.
	remaining int
	// limitReached tells whether a read was refused because of the limit.
	limitReached bool
	// err is the error of the latest read.
	err error
}

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
	n, err := s.r.Read(p)
	s.err = err
	if s.remaining > 0 {
		s.remaining -= n
	}
	return n, err
}
