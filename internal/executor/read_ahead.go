package executor

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/pacer"
)

const (
	// maxReadAheadBytes is the size up to which a long answer is read before it is sent.
	maxReadAheadBytes = 512 << 10
	// maxReadAheadTotal bounds the bytes of all answers that have been read and not sent. Beyond it, a
	// request holds its slot until its answer has been sent.
	maxReadAheadTotal = 4 << 20
)

// readAhead reads long answers from the target before they are sent at the speed of the
// link, so that the slot is free in the meantime.
type readAhead struct {
	// total is the size of the answers that have been read and not closed.
	total atomic.Int64
}

// read reads the body of a long answer of known size, and replaces it by what it has read.
func (ra *readAhead) read(a *exchanger.Answer) {
	size := a.ContentLength
	if size <= pacer.LongAnswerBytes || size > maxReadAheadBytes {
		return
	}
	if ra.total.Add(size) > maxReadAheadTotal {
		ra.total.Add(-size)
		return
	}
	held := &heldBody{source: a.Body, readAhead: ra, size: size}
	held.buffered.Grow(int(size) + bytes.MinRead)
	_, held.err = held.buffered.ReadFrom(a.Body)
	a.Body = held
}

// heldBody is a body that has been read from its source.
type heldBody struct {
	buffered bytes.Buffer
	// err ended the source before it was complete; nil if it is.
	err       error
	source    io.ReadCloser
	readAhead *readAhead
	size      int64
	closeOnce sync.Once
}

// Read returns io.EOF only when the body is complete.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.buffered.Read(p)
	if err == io.EOF && b.err != nil { //nolint:errorlint // readers return io.EOF itself
		return n, b.err
	}
	return n, err
}

// Close ends the exchange.
func (b *heldBody) Close() error {
	b.closeOnce.Do(func() { b.readAhead.total.Add(-b.size) })
	return b.source.Close()
}
