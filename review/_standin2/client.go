package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// requestFate is what a client saw of one request.
type requestFate struct {
	id, entry string
	sent      time.Time
	ended     time.Time
	// status is 0 if no whole answer came.
	status int
}

func newID() string { return strings.ToLower(rand.Text()[:16]) }

// dial connects to the node of a machine as its clients do.
func dial(n *machine) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.DialContext(context.Background(), "tcp", n.address(portOutbound))
}

// head returns the head of a request.
func head(host, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, deadline.Milliseconds())
}

// readAnswer reads one whole answer.
func readAnswer(r *bufio.Reader) (status int, closes bool, err error) {
	resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close, err
}

// get sends one request without a body on a connection of its own.
func get(n *machine, host, path string, deadline time.Duration) requestFate {
	f := requestFate{id: newID(), entry: n.name, sent: time.Now()}
	defer func() { f.ended = time.Now() }()
	c, err := dial(n)
	if err != nil {
		return f
	}
	defer c.Close() //nolint:errcheck // the answer has been read
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := io.WriteString(c, head(host, path, f.id, deadline)); err != nil {
		return f
	}
	status, _, err := readAnswer(bufio.NewReader(c))
	if err == nil {
		f.status = status
	}
	return f
}

// pipeline sends depth requests at a time on a kept connection, and reads their answers, until
// ctx ends. It opens another connection when one has ended.
func pipeline(ctx context.Context, n *machine, host, path string, deadline time.Duration, depth int, report func(f requestFate)) {
	for ctx.Err() == nil {
		c, err := dial(n)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r := bufio.NewReader(c)
		for ctx.Err() == nil && sendBatch(c, r, n, host, path, deadline, depth, report) {
		}
		_ = c.Close()
	}
}

// sendBatch reports whether the connection can carry another batch.
func sendBatch(c net.Conn, r *bufio.Reader, n *machine, host, path string, deadline time.Duration, depth int, report func(f requestFate)) bool {
	fates := make([]requestFate, depth)
	var text strings.Builder
	for i := range fates {
		fates[i] = requestFate{id: newID(), entry: n.name, sent: time.Now()}
		text.WriteString(head(host, path, fates[i].id, deadline))
	}
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	_, err := io.WriteString(c, text.String())
	closes := false
	for i := range fates {
		if err == nil && !closes {
			fates[i].status, closes, err = readAnswer(r)
			if err != nil {
				fates[i].status = 0
			}
		}
		fates[i].ended = time.Now()
		report(fates[i])
	}
	return err == nil && !closes
}
