// Package answerer answers HTTP requests on plain TCP connections, byte by byte as told. It
// serves tests with answers that no HTTP server writes.
//
//	a, err := answerer.Listen("127.0.0.1:0", answerer.Fixed("HTTP/1.1 000 Text\r\n\r\n"))
package answerer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Answer answers one request.
type Answer func(x *Exchange)

// Exchange is one request with its connection.
type Exchange struct {
	Request *http.Request
	// Sequence counts the requests on the connection from 1.
	Sequence int
	Conn     *net.TCPConn
	// Keep is set by the Answer if a further request may come on the connection. Otherwise
	// the connection is closed when the Answer returns, whatever has been read.
	Keep bool
}

// Write sends bytes. Errors show at the peer.
func (x *Exchange) Write(text string) { _, _ = io.WriteString(x.Conn, text) }

// Reset ends the connection by a reset.
func (x *Exchange) Reset() {
	_ = x.Conn.SetLinger(0)
	_ = x.Conn.Close()
}

// Fixed returns an Answer that sends the same bytes each time and keeps the connection.
func Fixed(text string) Answer {
	return func(x *Exchange) {
		x.Write(text)
		x.Keep = true
	}
}

// Answerer answers the requests on its connections.
type Answerer struct {
	// Address is that of the listener, as ip:port.
	Address string

	answer   Answer
	listener net.Listener
	group    sync.WaitGroup
	// ctx is cancelled by Close.
	ctx    context.Context
	cancel context.CancelFunc
	reused atomic.Int64
}

// Listen starts an answerer. A port of 0 means a free one.
func Listen(address string, answer Answer) (*Answerer, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		cancel()
		return nil, err
	}
	a := &Answerer{Address: ln.Addr().String(), answer: answer, listener: ln, ctx: ctx, cancel: cancel}
	a.group.Go(a.accept)
	return a, nil
}

// Close ends all connections.
func (a *Answerer) Close() {
	a.cancel()
	_ = a.listener.Close()
	a.group.Wait()
}

// Reused returns how many requests came on connections that had carried one.
func (a *Answerer) Reused() int { return int(a.reused.Load()) }

func (a *Answerer) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(a.ctx, func() { _ = c.Close() })
		a.group.Go(func() {
			defer stop()
			a.serve(c.(*net.TCPConn))
		})
	}
}

func (a *Answerer) serve(c *net.TCPConn) {
	defer c.Close() //nolint:errcheck // the peer sees the end
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if n > 1 {
			a.reused.Add(1)
		}
		x := &Exchange{Request: req, Sequence: n, Conn: c}
		a.answer(x)
		if !x.Keep {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}
