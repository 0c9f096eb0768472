package receiver

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxReplayBytes is the size up to which a request's body is buffered, so that it can be sent again.
const maxReplayBytes = 64 << 10

// detachedError is returned when a body is read for an attempt that has ended.
type detachedError struct{}

func (*detachedError) Error() string { return "the attempt that reads this body has ended" }

// replayer lets several attempts read one body. It buffers the body up to
// maxReplayBytes; a longer body can be read only once.
type replayer struct {
	mu sync.Mutex
	// src is read by one attempt at a time. Guarded by mu.
	src io.Reader
	// buffered holds the bytes read from src; nil once they are more than
	// maxReplayBytes. Guarded by mu.
	buffered []byte
	// received counts the bytes read from src. Guarded by mu.
	received int64
	// err is the last error of src, io.EOF at its end; nil before. Guarded by mu.
	err error

	// The flags are atomic since they are read while a reader holds mu and waits for the caller.

	// tooLong is set when the body is too long to be read again.
	tooLong atomic.Bool
	// ended is set when the body has been read to its end.
	ended atomic.Bool
}

// isReplayable reports whether the body can still be read from its start.
func (p *replayer) isReplayable() bool {
	return p == nil || !p.tooLong.Load()
}

// isComplete reports whether the body has been read to its end.
func (p *replayer) isComplete() bool {
	return p == nil || p.ended.Load()
}

// newReader returns a reader that starts at the start of the body.
func (p *replayer) newReader() *attemptReader { return &attemptReader{replayer: p} }

// attemptReader reads the body for one attempt.
type attemptReader struct {
	replayer *replayer
	// offset is the position of the next byte. Guarded by replayer.mu.
	offset int64

	mu sync.Mutex
	// detached is set when all further reads fail. Guarded by mu.
	detached bool
}

// detach makes all further reads fail. a may be nil.
func (a *attemptReader) detach() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.detached = true
}

func (a *attemptReader) isDetached() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detached
}

// Read returns io.EOF only when the body is complete.
func (a *attemptReader) Read(b []byte) (int, error) {
	p := a.replayer
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.isDetached() {
		return 0, &detachedError{}
	}
	if a.offset < p.received {
		return a.readBuffered(b)
	}
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.src.Read(b)
	p.buffer(b[:n])
	p.err = err
	p.ended.Store(err == io.EOF) //nolint:errorlint // readers return io.EOF itself
	a.offset += int64(n)
	return n, err
}

// readBuffered reads what another attempt has already read. The caller holds the replayer's mu.
func (a *attemptReader) readBuffered(b []byte) (int, error) {
	if a.offset >= int64(len(a.replayer.buffered)) {
		return 0, &detachedError{}
	}
	n := copy(b, a.replayer.buffered[a.offset:])
	a.offset += int64(n)
	return n, nil
}

// buffer stores bytes as long as the body fits. The caller holds mu.
func (p *replayer) buffer(b []byte) {
	p.received += int64(len(b))
	if p.received <= maxReplayBytes {
		p.buffered = append(p.buffered, b...)
		return
	}
	p.tooLong.Store(true)
	p.buffered = nil
}
