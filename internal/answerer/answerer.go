// Package answerer listens on plain TCP and answers every request with the same bytes, so
// that tests can send answers that no HTTP server writes.
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

// Answerer answers each request on its connections.
type Answerer struct {
	// Address is that of the listener, as ip:port.
	Address string

	answer   string
	listener net.Listener
	group    sync.WaitGroup
	requests atomic.Int64
	// closed is cancelled by Close.
	closed context.Context
	cancel context.CancelFunc
	// connections counts those that have carried a request.
	connections atomic.Int64
}

// Listen starts an answerer on a free port of loopback. It leaves its connections open.
func Listen(answer string) (*Answerer, error) {
	closed, cancel := context.WithCancel(context.Background())
	var lc net.ListenConfig
	ln, err := lc.Listen(closed, "tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return nil, err
	}
	a := &Answerer{Address: ln.Addr().String(), answer: answer, listener: ln, closed: closed, cancel: cancel}
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
func (a *Answerer) Reused() int { return int(a.requests.Load() - a.connections.Load()) }

func (a *Answerer) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		stop := context.AfterFunc(a.closed, func() { _ = c.Close() })
		a.group.Go(func() {
			defer stop()
			a.serve(c)
		})
	}
}

func (a *Answerer) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the peer sees the end
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if n == 0 {
			a.connections.Add(1)
		}
		a.requests.Add(1)
		if _, err := io.WriteString(c, a.answer); err != nil {
			return
		}
	}
}
