package dispatcher

import (
	"fmt"
	"io"
	"net/http"
)

const (
	// maxHeadBytes bounds the head of an answer. net/http reads a line of a head into
	// memory whatever its length.
	maxHeadBytes = 64 << 10
	// noHeadLimit is the value of headLimiter.remaining while no head is read.
	noHeadLimit = -1
)

// HeadTooLargeError reports an answer whose head is longer than Max bytes.
type HeadTooLargeError struct{ Max int }

func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("head of an answer is longer than %d bytes", e.Max)
}

// headLimiter reads from a connection and fails when a head exceeds its bound.
type headLimiter struct {
	r io.Reader
	// remaining is how many more bytes may be read for the head, or noHeadLimit.
	remaining int
}

func (h *headLimiter) Read(p []byte) (int, error) {
	if h.remaining == noHeadLimit {
		return h.r.Read(p)
	}
	if h.remaining == 0 {
		return 0, &HeadTooLargeError{Max: maxHeadBytes}
	}
	n, err := h.r.Read(p[:min(len(p), h.remaining)])
	h.remaining -= n
	return n, err
}

// readHead reads the head of the next answer on the connection.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.head.remaining = maxHeadBytes
	resp, err := http.ReadResponse(c.r, r)
	c.head.remaining = noHeadLimit
	return resp, err
}
