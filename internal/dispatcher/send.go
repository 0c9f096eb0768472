package dispatcher

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"
)

// write sends the request. Errors are not reported here: the read of the answer
// fails after them.
func (x *exchange) write() {
	w := bufio.NewWriterSize(firstByteGuard{x}, bufferBytes)
	x.writeHeader(w)
	if err := x.writeBody(w); err != nil {
		return
	}
	x.requestSent.Store(w.Flush() == nil)
}

// firstByteGuard writes to the target, but nothing if the target no longer takes the
// request when the first byte is to be sent. The request can then still go elsewhere.
type firstByteGuard struct{ exchange *exchange }

// Write closes the connection and writes nothing if the target no longer takes the request.
func (g firstByteGuard) Write(b []byte) (int, error) {
	x := g.exchange
	accepts := x.request.TargetAccepts
	if accepts != nil && x.conn.written.Load() == x.writtenBefore && !accepts() {
		x.targetLeaves.Store(true)
		_ = x.conn.Close()
		return 0, &TargetLeavesError{}
	}
	return x.conn.Write(b)
}

// TargetLeavesError reports that a target stopped taking requests before the first byte of one was sent.
type TargetLeavesError struct{}

func (*TargetLeavesError) Error() string { return "the target takes no further requests" }

func (x *exchange) writeHeader(w *bufio.Writer) {
	r, d := x.request, &x.client.dialect
	_, _ = w.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	header := d.EndToEndHeaders(r.Header)
	set := func(name, value string) {
		if name != "" && value != "" {
			header.Set(name, value)
		}
	}
	set(d.RequestID, r.ID)
	set(d.Deadline, strconv.FormatInt(max(time.Until(r.Deadline).Milliseconds(), 0), 10))
	set(d.Depth, strconv.Itoa(r.Depth))
	if r.Attempt > 1 || r.RetriedAbove {
		set(d.Attempt, strconv.Itoa(max(r.Attempt, 2)))
	}
	set(d.IdempotencyKey, r.IdempotencyKey)
	set(d.CallerService, r.CallerService)
	set(d.Firm, r.Header.Get(d.Firm))
	set(d.ExpectTarget, r.TargetID)
	header.Del("Content-Length")
	switch {
	case r.Body == nil || r.ContentLength == 0:
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			header.Set("Content-Length", "0")
		}
	case r.ContentLength > 0:
		header.Set("Content-Length", strconv.FormatInt(r.ContentLength, 10))
	default:
		header.Set("Transfer-Encoding", "chunked")
	}
	_ = header.Write(w)
	_, _ = w.WriteString("\r\n")
}

func (x *exchange) writeBody(w *bufio.Writer) error {
	r := x.request
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > 0 {
		n, err := io.Copy(w, io.LimitReader(r.Body, r.ContentLength))
		if err == nil && n < r.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return x.checkBodyError(err)
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, r.Body); err != nil {
		return x.checkBodyError(err)
	}
	_ = chunks.Close()
	_, err := w.WriteString("\r\n")
	return err
}

// checkBodyError closes the connection if reading the caller's body failed. It
// leaves it open if the write to the target failed, since a target that stopped
// reading may still answer.
func (x *exchange) checkBodyError(err error) error {
	var opErr *net.OpError
	targetStoppedReading := errors.As(err, &opErr) && opErr.Op == "write"
	if err != nil && !targetStoppedReading {
		x.callerBodyFailed.Store(true)
		_ = x.conn.Close()
	}
	return err
}
