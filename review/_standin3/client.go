package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// client is a client with one connection, which it keeps.
type client struct {
	record *recorder
	// node is the address of the node for clients.
	node string
	conn net.Conn
	r    *bufio.Reader
}

// answer is what a client saw of one request. Status is 0 when there was no answer.
type answer struct {
	status int
	signed bool
	// closes is set if the answer closes the connection.
	closes bool
	err    error
}

func (c *client) connect() error {
	conn, err := net.DialTimeout("tcp", c.node, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// piece is a part of a body, which is sent after a pause.
type piece struct {
	pause time.Duration
	bytes int
}

// do sends a request on the connection, which it opens if there is none, and reads the
// answer. The body is sent while the answer is awaited.
func (c *client) do(method, path, id string, deadline time.Duration, body []piece) answer {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return answer{err: err}
		}
	}
	length := 0
	for _, p := range body {
		length += p.bytes
	}
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: front.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, id, deadline.Milliseconds(), length)
	c.record.note("client sends %s %s %s with %d bytes", id, method, path, length)
	if _, err := conn.Write([]byte(head)); err != nil {
		c.close()
		return answer{err: err}
	}
	read := make(chan answer, 1)
	var reading sync.WaitGroup
	reading.Go(func() { read <- c.readAnswer(method) })
	a, isAnswered := sendBody(conn, body, read)
	if !isAnswered {
		a = <-read
	}
	reading.Wait()
	if a.err != nil || a.closes || isAnswered {
		c.close()
	}
	c.record.note("client gets for %s: status %d, signature %t, error %v", id, a.status, a.signed, a.err)
	return a
}

// sendBody sends the pieces of a body until the answer comes.
func sendBody(conn net.Conn, body []piece, read chan answer) (a answer, isAnswered bool) {
	for _, p := range body {
		select {
		case a = <-read:
			return a, true
		case <-time.After(p.pause):
		}
		if _, err := conn.Write(make([]byte, p.bytes)); err != nil {
			return answer{}, false
		}
	}
	return answer{}, false
}

// readAnswer reads an answer with its whole body.
func (c *client) readAnswer(method string) answer {
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("Response-Signature") != ""}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return answer{err: err}
	}
	a.closes = resp.Close
	return a
}

// pipeline sends idempotent requests without waiting for answers, and reads these in order.
// It returns how many were answered.
func (c *client) pipeline(path string, ids []string, deadline time.Duration) (answered int) {
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return 0
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	for _, id := range ids {
		c.record.note("client sends %s GET %s", id, path)
		if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: front.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, id, deadline.Milliseconds()); err != nil {
			break
		}
	}
	for _, id := range ids {
		a := c.readAnswer(http.MethodGet)
		c.record.note("client gets for %s: status %d, signature %t, error %v", id, a.status, a.signed, a.err)
		if a.err != nil || a.closes {
			c.close()
			return answered
		}
		answered++
	}
	return answered
}
