package forwarder

import (
	"bufio"
	"io"
	"sync"

	"gentianbarrow.example/internal/encoder"
)

const (
	// shortBytes is the size up to which a body is sent from a small buffer.
	shortBytes = 2 << 10
	// headerRoom is kept for the header of an answer.
	headerRoom = 2 << 10
)

// sender holds the buffers by which one body is sent.
type sender struct {
	w *bufio.Writer
	// chunk is what is read from the body at once.
	chunk []byte
}

func newSenders(chunkBytes int) *sync.Pool {
	return &sync.Pool{New: func() any {
		return &sender{
			w:     bufio.NewWriterSize(io.Discard, chunkBytes+headerRoom),
			chunk: make([]byte, chunkBytes),
		}
	}}
}

var (
	shortSenders = newSenders(shortBytes)
	longSenders  = newSenders(encoder.MaxChunkDataBytes)
)

// sendersFor returns the pool for a body of the given length; -1 when not known.
func sendersFor(length int64) *sync.Pool {
	if length >= 0 && length <= shortBytes {
		return shortSenders
	}
	return longSenders
}

// withSender lends buffers that write to w.
func withSender(w io.Writer, length int64, f func(s *sender)) {
	pool := sendersFor(length)
	s := pool.Get().(*sender)
	s.w.Reset(w)
	f(s)
	s.w.Reset(nil)
	pool.Put(s)
}
