package receiver

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxReplayBytes is the size up to which a request's body is kept, so that it can be sent again.
const maxReplayBytes = 64 << 10

// detachedError tells that a body is read for an attempt that has ended.
type detachedError struct{}

func (*detachedError) Error() string { return "the attempt that reads this body has ended" }

// replayer lets several attempts read one body. It keeps what was read as long
// as that is small; a longer body can be read once.
type replayer struct {
	mu sync.Mutex
	// src is read by one attempt at a time. Guarded by mu.
	src io.Reader
	// kept is the start of the body, at most maxReplayBytes. Guarded by mu.
	kept []byte
	// read counts the bytes that came from src. Guarded by mu.
	read int64
	// err ended src; nil while it goes on. Guarded by mu.
	err error

	// The flags are read while a reader holds mu and waits for the caller.

	// tooLong tells that the body cannot be read again.
	tooLong atomic.Bool
	// ended tells that the body has been read to its end.
	ended atomic.Bool
}

// replayable tells that the body can still be read from its start.
func (p *replayer) replayable() bool {
	return p == nil || !p.tooLong.Load()
}

// whole tells that the body has been read to its end.
func (p *replayer) whole() bool {
	return p == nil || p.ended.Load()
}

// attempt returns a reader from the start of the body.
func (p *replayer) attempt() *attemptReader { return &attemptReader{from: p} }

// attemptReader reads the body for one attempt.
type attemptReader struct {
	from *replayer
	// offset of the next byte. Guarded by from.mu.
	offset int64

	mu sync.Mutex
	// detached ends all further reads. Guarded by mu.
	detached bool
}

// detach ends the reads of an attempt that is over.
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

// Read returns io.EOF only when the body is whole.
func (a *attemptReader) Read(b []byte) (int, error) {
	p := a.from
	p.mu.Lock()
	defer p.mu.Unlock()
	if a.isDetached() {
		return 0, &detachedError{}
	}
	if a.offset < p.read {
		return a.readKept(b)
	}
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.src.Read(b)
	p.keep(b[:n])
	p.err = err
	p.ended.Store(err == io.EOF) //nolint:errorlint // readers return io.EOF itself
	a.offset += int64(n)
	return n, err
}

// readKept reads again what an earlier attempt has read. The caller holds the replayer's mu.
func (a *attemptReader) readKept(b []byte) (int, error) {
	if a.offset >= int64(len(a.from.kept)) {
		return 0, &detachedError{}
	}
	n := copy(b, a.from.kept[a.offset:])
	a.offset += int64(n)
	return n, nil
}

// keep remembers bytes while the body is small. The caller holds mu.
func (p *replayer) keep(b []byte) {
	p.read += int64(len(b))
	if p.read <= maxReplayBytes {
		p.kept = append(p.kept, b...)
		return
	}
	p.tooLong.Store(true)
	p.kept = nil
}
