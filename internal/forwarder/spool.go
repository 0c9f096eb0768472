package forwarder

import (
	"bytes"
	"io"
	"sync"
)

// spool buffers the part of a body that has been received and not read yet, at most about maxSpoolBytes.
type spool struct {
	// ready is closed once the spool is full or the body has ended.
	ready     chan struct{}
	readyOnce sync.Once

	mu sync.Mutex
	// changed is signalled with each change of the fields below.
	changed *sync.Cond
	// buffered holds the bytes that have not been read yet. Guarded by mu.
	buffered bytes.Buffer
	// err is the error that ended the body, io.EOF if it is complete, or nil while it continues. Guarded by mu.
	err error
	// closed tells whether the body is no longer read. Guarded by mu.
	closed bool
}

func newSpool() *spool {
	s := &spool{ready: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// fill reads a body to its end, or until the spool is closed.
func (s *spool) fill(body io.Reader) {
	pool := bufferPoolFor(-1)
	buffers := pool.Get().(*sendBuffers)
	defer pool.Put(buffers)
	for {
		n, err := body.Read(buffers.chunk)
		if !s.add(buffers.chunk[:n], err) {
			return
		}
	}
}

// add waits until less than maxSpoolBytes are buffered, then appends b. It tells whether the body continues.
func (s *spool) add(b []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.buffered.Len() >= maxSpoolBytes && !s.closed {
		s.changed.Wait()
	}
	s.buffered.Write(b)
	s.err = err
	if err != nil || s.buffered.Len() >= maxSpoolBytes {
		s.readyOnce.Do(func() { close(s.ready) })
	}
	s.changed.Broadcast()
	return err == nil && !s.closed
}

// Read returns io.EOF only when the body is complete.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.buffered.Len() == 0 && s.err == nil && !s.closed {
		s.changed.Wait()
	}
	if s.buffered.Len() > 0 {
		n, _ := s.buffered.Read(p)
		s.changed.Broadcast()
		return n, nil
	}
	if s.err == nil {
		return 0, io.ErrClosedPipe
	}
	return 0, s.err
}

// close ends fill and makes reads return.
func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}
