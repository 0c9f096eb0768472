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
	// unread is the part of the current chunk that has not been returned yet.
	unread        []byte
	receivedBytes int64
	// contentLength is the declared length of the body, or -1 if unknown.
	contentLength int64
	// err is returned by all reads after unread is empty.
	err error
	// reusable is set when the body is complete and its stream can carry another exchange.
	reusable bool
	// onComplete, if not nil, is called once when the body is complete.
	onComplete func()
}

// Read returns io.EOF only when the body is complete, and a *TruncatedError when
// it was truncated.
func (c *chunkReader) Read(p []byte) (int, error) {
	for len(c.unread) == 0 && c.err == nil {
		c.readChunk()
	}
	if len(c.unread) == 0 {
		return 0, c.err
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *chunkReader) readChunk() {
	chunk, buf, err := encoder.ReadChunk(c.r, c.buf)
	c.buf = buf
	if err != nil {
		c.err = &TruncatedError{Got: c.receivedBytes, Want: c.contentLength, Cause: err}
		return
	}
	c.unread = chunk.Data
	c.receivedBytes += int64(len(chunk.Data))
	if !chunk.End {
		return
	}
	if chunk.Total != c.receivedBytes || (c.contentLength >= 0 && c.receivedBytes != c.contentLength) {
		c.err = &TruncatedError{Got: c.receivedBytes, Want: max(c.contentLength, chunk.Total)}
		c.unread = nil
		return
	}
	c.err = io.EOF
	c.reusable = chunk.Reuse
	if c.onComplete != nil {
		c.onComplete()
	}
}

// isComplete tells whether the body has been read to its end.
func (c *chunkReader) isComplete() bool { return c.err == io.EOF && len(c.unread) == 0 } //nolint:errorlint // set by readChunk

// sendChunks sends a body and flushes after each read, so that no bytes are delayed.
// It calls mayReuse once, before the last chunk, and mayGo before each one.
func sendChunks(w *bufio.Writer, body io.Reader, buf []byte, mayGo func(bytes int) error, mayReuse func() bool) error {
	var total int64
	for {
		n, err := body.Read(buf)
		total += int64(n)
		last := err == io.EOF //nolint:errorlint // readers return io.EOF itself
		if err != nil && !last {
			return err
		}
		if n > 0 {
			if err := mayGo(n); err != nil {
				return err
			}
		}
		if last {
			return sendChunk(w, encoder.Chunk{Data: buf[:n], End: true, Total: total, Reuse: mayReuse()})
		}
		if n == 0 {
			continue
		}
		if err := sendChunk(w, encoder.Chunk{Data: buf[:n]}); err != nil {
			return err
		}
	}
}

// atOnce lets each chunk go at once.
func atOnce(int) error { return nil }

func sendChunk(w *bufio.Writer, c encoder.Chunk) error {
	if err := encoder.WriteChunk(w, c); err != nil {
		return err
	}
	return w.Flush()
}

// bodyLength returns the length of the body that follows the header of an answer.
// An answer to HEAD declares a length but has no body.
func bodyLength(method string, status int, contentLength int64) int64 {
	if method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified {
		return 0
	}
	return contentLength
}
