package forwarder

import (
	"bufio"
	"io"
	"net/http"

	"gentianbarrow.example/internal/encoder"
)

// chunkReader reads a body from a stream. It is used by one goroutine at a time.
type chunkReader struct {
	r   *bufio.Reader
	buf []byte
	// rest of the current chunk.
	rest []byte
	got  int64
	// want is the stated length; -1 when not known.
	want int64
	// err is returned by all further reads.
	err error
	// reuse is set when the body is whole and its stream can carry another exchange.
	reuse bool
	// onEnd is called once when the body is whole.
	onEnd func()
}

// Read returns io.EOF only when the body is whole, and a *TruncatedError when
// it was cut.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.rest) == 0 && c.err == nil {
		c.next()
	}
	if len(c.rest) == 0 {
		return 0, c.err
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

func (c *chunkReader) next() {
	chunk, buf, err := encoder.ReadChunk(c.r, c.buf)
	c.buf = buf
	if err != nil {
		c.err = &TruncatedError{Got: c.got, Want: c.want, Cause: err}
		return
	}
	c.rest = chunk.Data
	c.got += int64(len(chunk.Data))
	if !chunk.End {
		return
	}
	if chunk.Total != c.got || (c.want >= 0 && c.got != c.want) {
		c.err = &TruncatedError{Got: c.got, Want: max(c.want, chunk.Total)}
		c.rest = nil
		return
	}
	c.err = io.EOF
	c.reuse = chunk.Reuse
	if c.onEnd != nil {
		c.onEnd()
	}
}

// whole tells that the body has been read to its end.
func (c *chunkReader) whole() bool { return c.err == io.EOF && len(c.rest) == 0 } //nolint:errorlint // set by next

// copyChunks sends a body, flushing after each read so that nothing waits.
// The function reuse is asked once, before the last chunk.
func copyChunks(w *bufio.Writer, body io.Reader, buf []byte, reuse func() bool) error {
	var total int64
	for {
		n, err := body.Read(buf)
		total += int64(n)
		last := err == io.EOF //nolint:errorlint // readers return io.EOF itself
		if err != nil && !last {
			return err
		}
		if last {
			return finish(w, encoder.Chunk{Data: buf[:n], End: true, Total: total, Reuse: reuse()})
		}
		if n == 0 {
			continue
		}
		if err := finish(w, encoder.Chunk{Data: buf[:n]}); err != nil {
			return err
		}
	}
}

func finish(w *bufio.Writer, c encoder.Chunk) error {
	if err := encoder.WriteChunk(w, c); err != nil {
		return err
	}
	return w.Flush()
}

// bodyLength returns the length of the body that follows an answer: an answer
// to HEAD states a length but has no body.
func bodyLength(method string, status int, stated int64) int64 {
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0
	}
	return stated
}
