package forwarder

import (
	"bytes"
	"io"
	"sync"
)

// spool holds the part of a body that has come and is not read yet, at most about spoolBytes.
type spool struct {
	// ready is closed once the spool is full or the body has ended.
	ready     chan struct{}
	readyOnce sync.Once

	mu sync.Mutex
	// changed is signalled with each change of the fields below.
	changed *sync.Cond
	// held is guarded by mu.
	held bytes.Buffer
	// err ended the body, io.EOF when it is whole; nil while it goes on. Guarded by mu.
	err error
	// closed tells that nobody reads any more. Guarded by mu.
	closed bool
}

func newSpool() *spool {
	s := &spool{ready: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// fill reads a body to its end, or until the spool is closed.
func (s *spool) fill(body io.Reader) {
	buffers := sendersFor(-1)
	buffer := buffers.Get().(*sender)
	defer buffers.Put(buffer)
	for {
		n, err := body.Read(buffer.chunk)
		if !s.add(buffer.chunk[:n], err) {
			return
		}
	}
}

// add waits until there is room, and tells whether the body goes on.
func (s *spool) add(b []byte, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held.Len() >= spoolBytes && !s.closed {
		s.changed.Wait()
	}
	s.held.Write(b)
	s.err = err
	if err != nil || s.held.Len() >= spoolBytes {
		s.readyOnce.Do(func() { close(s.ready) })
	}
	s.changed.Broadcast()
	return err == nil && !s.closed
}

// Read returns io.EOF only when the body is whole.
func (s *spool) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held.Len() == 0 && s.err == nil && !s.closed {
		s.changed.Wait()
	}
	if s.held.Len() > 0 {
		n, _ := s.held.Read(p)
		s.changed.Broadcast()
		return n, nil
	}
	if s.err == nil {
		return 0, io.ErrClosedPipe
	}
	return 0, s.err
}

// close ends fill and all reads.
func (s *spool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.changed.Broadcast()
}
