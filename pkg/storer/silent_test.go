package storer_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/platformer"
	"gentianbarrow.example/pkg/storer"
)

// pipeNetwork connects a client and a server by pipes. When generation is
// incremented, the server's answers on the existing connections are lost without
// an error; new connections work.
type pipeNetwork struct {
	accepted chan net.Conn
	// generation is how many times the connections have gone silent.
	generation atomic.Int32
	closeOnce  sync.Once
}

func (n *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.accepted <- &silentConn{Conn: server, network: n, generation: n.generation.Load()}
	return client, nil
}

func (n *pipeNetwork) Accept() (net.Conn, error) {
	conn, open := <-n.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *pipeNetwork) Close() error {
	n.closeOnce.Do(func() { close(n.accepted) })
	return nil
}

func (n *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn is the server's end of a connection. It discards what the server
// writes once the generation it was made in is over.
type silentConn struct {
	net.Conn
	network    *pipeNetwork
	generation int32
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.generation != c.network.generation.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentConnections guards against a client that goes on using pooled
// connections after one of them has gone silent: the call after the first
// failure would fail too.
func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := storer.NewFake()
		n := &pipeNetwork{accepted: make(chan net.Conn)}
		server := &http.Server{Handler: platformer.New(fake).Handler()}
		var group sync.WaitGroup
		group.Go(func() { _ = server.Serve(n) })
		transport := &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 8}
		client := storer.NewHTTPClient("http://platform", storer.WithTransport(transport))
		fake.SetFaults(storer.Faults{DelayMs: 10})
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { _, _ = client.Get(t.Context(), "a") })
		}
		calls.Wait()
		n.generation.Add(1)
		_, err := client.Put(t.Context(), "a", []byte("x"), 0)
		assertError[*storer.UnknownOutcomeError](t, err)
		got, err := client.Get(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, string(got.Value), "x")
		transport.CloseIdleConnections()
		assert.NilError(t, server.Close())
		group.Wait()
	})
}
