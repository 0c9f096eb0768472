package dispatcher

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"syscall"

	"gentianbarrow.example/internal/validator"
)

// LostConnectionError reports a body that ends with its connection, which was lost and not
// closed by the target: a part of the body may be missing.
type LostConnectionError struct{ Cause error }

func (e *LostConnectionError) Error() string {
	return fmt.Sprintf("the connection that marks the end of the body was lost: %v", e.Cause)
}

// Unwrap returns the error of the write that saw the loss.
func (e *LostConnectionError) Unwrap() error { return e.Cause }

// answerBody ends the exchange when the body has been read to its end or is closed.
//
// A body is complete when its stated length or its last chunk has been read, whatever
// happens to the connection. A body with neither ends with the connection, and is complete
// only if the target closed that.
type answerBody struct {
	resp     *http.Response
	exchange *exchange
	// err is returned by all reads after the first that fails; nil before.
	err error
}

// Read returns io.EOF only if the body is complete.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.resp.Body.Read(p)
	if err != nil {
		b.err = b.end(err)
	}
	return n, b.err
}

// end ends the exchange. It returns io.EOF if the body is complete, else a *BrokenAnswerError
// unless the exchange was cancelled.
func (b *answerBody) end(err error) error {
	isCancelled := b.exchange.ctx.Err() != nil
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		err = validator.CheckFields(b.resp.Trailer)
	}
	b.exchange.finish(err == nil && !b.resp.Close)
	if err == nil && endsWithConnection(b.resp) {
		// The connection has been closed, so no write is in progress for long.
		err = b.exchange.conn.writeLoss()
	}
	switch {
	case err == nil:
		return io.EOF
	case isCancelled:
		return err
	default:
		return &BrokenAnswerError{Part: PartBody, Cause: err}
	}
}

// Close ends the exchange and closes its connection unless the body has been read
// to its end.
func (b *answerBody) Close() error {
	b.exchange.finish(false)
	return nil
}

// endsWithConnection reports whether only the end of the connection marks the end of a body.
func endsWithConnection(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isLoss reports whether an error of a write shows that the connection was lost, such as by
// a reset. The operating system reports a loss once, to a write or to a read; reads after
// that return the end of the stream. It reports EPIPE instead of a loss if the target had
// closed the connection before.
func isLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// stickyReader reads from a connection and returns its first error again after it, except
// for the end of a read deadline. A connection that was lost reports that once, and then
// ends as if it had been closed.
type stickyReader struct {
	r io.Reader
	// err is the first error; nil before.
	err error
}

func (s *stickyReader) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.r.Read(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		s.err = err
	}
	return n, err
}
