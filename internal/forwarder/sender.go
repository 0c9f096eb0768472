package forwarder

import (
	"bufio"
	"io"
	"sync"

	"gentianbarrow.example/internal/encoder"
)

const (
	// smallBodyBytes is the size up to which a body is sent with small buffers.
	smallBodyBytes = 2 << 10
	// headerReserveBytes of a write buffer are reserved for the header of an answer.
	headerReserveBytes = 2 << 10
)

// sendBuffers holds the buffers that are needed to send one body.
type sendBuffers struct {
	w *bufio.Writer
	// chunk is the buffer for one read of the body.
	chunk []byte
}

func newBufferPool(chunkBytes int) *sync.Pool {
	return &sync.Pool{New: func() any {
		return &sendBuffers{
			w:     bufio.NewWriterSize(io.Discard, chunkBytes+headerReserveBytes),
			chunk: make([]byte, chunkBytes),
		}
	}}
}

var (
	smallBuffers = newBufferPool(smallBodyBytes)
	largeBuffers = newBufferPool(encoder.MaxChunkDataBytes)
)

// bufferPoolFor returns the pool for a body of the given length, which is -1 if unknown.
func bufferPoolFor(length int64) *sync.Pool {
	if length >= 0 && length <= smallBodyBytes {
		return smallBuffers
	}
	return largeBuffers
}

// withSendBuffers calls f with pooled buffers that write to w.
func withSendBuffers(w io.Writer, length int64, f func(s *sendBuffers)) {
	pool := bufferPoolFor(length)
	s := pool.Get().(*sendBuffers)
	s.w.Reset(w)
	f(s)
	s.w.Reset(nil)
	pool.Put(s)
}
