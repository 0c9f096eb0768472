package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// sent is one request of a client and what the client saw of it.
type sent struct {
	id string
	// entry is the node that the request was sent to.
	entry string
	at    time.Time
	// kept reports whether the connection had carried an answer before.
	kept bool
	// position counts the requests of one write from 0.
	position int
	// status is 0 if the connection ended without an answer, which is at ended.
	status   int
	complete bool
	ended    time.Time
}

// client sends pipelined GET requests over one kept connection to a node.
type client struct {
	name    string
	node    *node
	host    string
	path    string
	depth   int
	pause   time.Duration
	timeout time.Duration
	log     *record

	mu sync.Mutex
	// requests in the order of sending. Guarded by mu.
	requests []sent
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	count := 0
	for ctx.Err() == nil {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", c.node.outbound)
		if err != nil {
			sleep(ctx, c.pause)
			continue
		}
		c.useConnection(ctx, conn, &count)
		_ = conn.Close()
		sleep(ctx, c.pause)
	}
}

// useConnection sends bursts until the connection ends.
func (c *client) useConnection(ctx context.Context, conn net.Conn, count *int) {
	r := bufio.NewReader(conn)
	kept := false
	for ctx.Err() == nil {
		burst := make([]sent, 0, c.depth)
		text := ""
		for position := range c.depth {
			*count++
			s := sent{id: fmt.Sprintf("%s%06x", c.name, *count), entry: c.node.name, at: time.Now(), kept: kept, position: position}
			burst = append(burst, s)
			text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", c.path, c.host, s.id, c.timeout.Milliseconds())
			c.log.printf("client %s sends %s to %s", c.name, s.id, c.node.name)
		}
		_ = conn.SetDeadline(time.Now().Add(c.timeout))
		_, _ = io.WriteString(conn, text)
		closes := c.readAnswers(r, burst)
		c.mu.Lock()
		c.requests = append(c.requests, burst...)
		c.mu.Unlock()
		if closes {
			return
		}
		kept = true
		sleep(ctx, c.pause)
	}
}

// readAnswers reads the answers to a burst in order. It returns whether the connection is over.
func (c *client) readAnswers(r *bufio.Reader, burst []sent) (closes bool) {
	for i := range burst {
		s := &burst[i]
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			for j := i; j < len(burst); j++ {
				burst[j].ended = time.Now()
				c.log.printf("client %s: the connection ends without an answer to %s: %v", c.name, burst[j].id, err)
			}
			return true
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		s.status, s.complete, s.ended = resp.StatusCode, err == nil, time.Now()
		c.log.printf("client %s: %s is answered %d, whole %t", c.name, s.id, s.status, s.complete)
		closes = closes || resp.Close || err != nil
	}
	return closes
}

// all returns the requests that were sent so far.
func (c *client) all() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.requests...)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
