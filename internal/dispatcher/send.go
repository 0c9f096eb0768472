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

// write sends the request. A failure shows when the answer is read.
func (x *exchange) write() {
	w := bufio.NewWriterSize(x.conn, bufferBytes)
	x.writeHeader(w)
	if err := x.writeBody(w); err != nil {
		return
	}
	x.sent.Store(w.Flush() == nil)
}

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
		return x.bodyEnded(err)
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(chunks, r.Body); err != nil {
		return x.bodyEnded(err)
	}
	_ = chunks.Close()
	_, err := w.WriteString("\r\n")
	return err
}

// bodyEnded gives up an exchange whose body was cut on the caller's side. A
// target that stops reading may still answer.
func (x *exchange) bodyEnded(err error) error {
	var op *net.OpError
	stopped := errors.As(err, &op) && op.Op == "write"
	if err != nil && !stopped {
		x.broken.Store(true)
		_ = x.conn.Close()
	}
	return err
}
