package acceptor

import "io"

// boundedSource bounds the bytes of a request's headers.
type boundedSource struct {
	r io.Reader
	// left is how many bytes may still be read; negative means any number.
	left int
	over bool
	// err is the latest failure to read.
	err error
}

func (s *boundedSource) allow(n int) { s.left, s.over, s.err = n+readBufferBytes, false, nil }

func (s *boundedSource) allowAll() { s.left = -1 }

func (s *boundedSource) exhausted() bool { return s.over }

// Read returns io.EOF when the bound is reached.
func (s *boundedSource) Read(p []byte) (int, error) {
	if s.left == 0 {
		s.over = true
		return 0, io.EOF
	}
	if s.left > 0 && len(p) > s.left {
		p = p[:s.left]
	}
	n, err := s.r.Read(p)
	s.err = err
	if s.left > 0 {
		s.left -= n
	}
	return n, err
}
