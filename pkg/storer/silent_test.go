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

// network joins a client and a server by pipes. Connections made before
// silence are never heard of again; later ones work.
type network struct {
	accepted chan net.Conn
	// generation counts the silences.
	generation atomic.Int32
	closing    sync.Once
}

func (n *network) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	n.accepted <- &mutedConn{Conn: server, network: n, generation: n.generation.Load()}
	return client, nil
}

func (n *network) Accept() (net.Conn, error) {
	conn, open := <-n.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (n *network) Close() error {
	n.closing.Do(func() { close(n.accepted) })
	return nil
}

func (n *network) Addr() net.Addr { return &net.TCPAddr{} }

// mutedConn is the server's end of a connection.
type mutedConn struct {
	net.Conn
	network    *network
	generation int32
}

func (c *mutedConn) Write(p []byte) (int, error) {
	if c.generation != c.network.generation.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func TestSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := storer.NewFake()
		n := &network{accepted: make(chan net.Conn)}
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
