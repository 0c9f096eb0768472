// Package piper connects the linkers of several nodes in memory, so that tests run a small
// mesh under fake time. Addresses are any texts.
package piper

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"gentianbarrow.example/internal/linker"
)

// Network connects linkers by their addresses. The zero value is ready to use.
type Network struct {
	group sync.WaitGroup
	sent  atomic.Int64
	mu    sync.Mutex
	// servers holds who listens at an address. Guarded by mu.
	servers map[string]server
	// silent holds the addresses from and to which all packets are lost. Guarded by mu.
	silent map[string]bool
}

// server is a linker that serves connections until its context ends.
type server struct {
	ctx   context.Context
	links *linker.Linker
}

// Listen serves connections to an address until Close or the end of ctx, in place of a
// linker that has listened there before.
func (n *Network) Listen(ctx context.Context, address string, links *linker.Linker) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.servers == nil {
		n.servers = map[string]server{}
	}
	n.servers[address] = server{ctx: ctx, links: links}
}

// Close refuses further connections to an address.
func (n *Network) Close(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// SetSilent sets from and to which addresses all packets are lost.
func (n *Network) SetSilent(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = map[string]bool{}
	for _, a := range addresses {
		n.silent[a] = true
	}
}

// Dial connects one address to another. It waits for the end of ctx if either is silent.
func (n *Network) Dial(ctx context.Context, from, to string) (net.Conn, error) {
	if n.isLost(from, to) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	s, listens := n.servers[to]
	n.mu.Unlock()
	if !listens {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	isLost := func() bool { return n.isLost(from, to) }
	near, far := net.Pipe()
	n.group.Go(func() { s.links.ServeConn(s.ctx, &lossyConn{Conn: far, isLost: isLost, sent: &n.sent}) })
	return &lossyConn{Conn: near, isLost: isLost, sent: &n.sent}, nil
}

// SentBytes returns how many bytes have been written to all connections, lost ones included.
func (n *Network) SentBytes() int64 { return n.sent.Load() }

// Wait returns when all connections have ended.
func (n *Network) Wait() { n.group.Wait() }

func (n *Network) isLost(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[from] || n.silent[to]
}

// lossyConn loses what is written to it while isLost returns true.
type lossyConn struct {
	net.Conn
	isLost func() bool
	sent   *atomic.Int64
}

// Write sends b, or loses it.
func (c *lossyConn) Write(b []byte) (int, error) {
	c.sent.Add(int64(len(b)))
	if c.isLost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}
