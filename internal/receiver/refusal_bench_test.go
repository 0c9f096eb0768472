package receiver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/internal/targeter"
)

// countedListener counts the reads and writes of the connections that it accepts.
type countedListener struct {
	net.Listener
	calls *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{Conn: c, calls: l.calls}, err
}

type countedConn struct {
	net.Conn
	calls *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	c.calls.Add(1)
	return c.Conn.Read(b)
}

func (c countedConn) Write(b []byte) (int, error) {
	c.calls.Add(1)
	return c.Conn.Write(b)
}

// BenchmarkRefusal compares what a node spends on a request that it serves with what it
// spends on one for which it has no processor time, on a connection that the caller keeps.
// The caller, and with served the target, are in the same process.
func BenchmarkRefusal(b *testing.B) {
	for name, late := range map[string]time.Duration{"served": 0, "refused": time.Second} {
		b.Run(name, func(b *testing.B) {
			m := newMesh(tcpNetwork(b), 2, targeter.Config{})
			defer m.close(b)
			m.removeTarget(0)
			rc := m.nodes[0].receiver
			rc.cfg.Guard = &shedder.Guard{
				Lateness: func() shedder.Lateness {
					return shedder.Lateness{Mean: late, Standing: late, Tolerance: 20 * time.Millisecond}
				},
				Spread: func() float64 { return 0 },
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			var calls atomic.Int64
			server := &acceptor.Server{Handler: rc}
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			m.group.Go(func() error { return server.Serve(ctx, countedListener{Listener: ln, calls: &calls}) })
			conn, err := net.Dial("tcp", ln.Addr().String())
			assert.NilError(b, err)
			defer conn.Close() //nolint:errcheck // the benchmark has ended
			answers := bufio.NewReader(conn)
			b.ReportAllocs()
			calls.Store(0)
			for b.Loop() {
				_, err := io.WriteString(conn, "GET /read?bytes=200 HTTP/1.1\r\nHost: mesh.example\r\nGentian-Request-Id: bench\r\n\r\n")
				assert.NilError(b, err)
				resp, err := http.ReadResponse(answers, nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				assert.NilError(b, resp.Body.Close())
				assert.Equal(b, resp.StatusCode == http.StatusOK, late == 0)
			}
			b.ReportMetric(float64(calls.Load())/float64(b.N), "calls/op")
		})
	}
}
