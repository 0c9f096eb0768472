package soaker

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// direction of bytes through a proxy.
type direction int

const (
	inward direction = iota
	outward
	directions
)

// proxyChunk is how many bytes are passed on at once.
const proxyChunk = 32 << 10

// proxy passes connections on to one address, and harms them on demand.
type proxy struct {
	to    string
	ln    net.Listener
	group sync.WaitGroup

	mu sync.Mutex
	// pairs that are open. Guarded by mu.
	pairs map[*pair]bool
	// cut holds back the bytes of a direction while it is above 0. Guarded by mu.
	cut [directions]int
	// delay of each chunk. Guarded by mu.
	delay time.Duration
	// changed is closed and replaced with each change. Guarded by mu.
	changed chan struct{}
}

// pair is one connection on both sides of the proxy.
type pair struct {
	near, far *net.TCPConn
	once      sync.Once
	closed    chan struct{}
	// silent passes nothing on any more. Guarded by the proxy's mu.
	silent bool
}

func (x *pair) close() {
	x.once.Do(func() {
		close(x.closed)
		_ = x.near.Close()
		_ = x.far.Close()
	})
}

// newProxy listens at once; it ends with the test.
func newProxy(t *testing.T, listen, to string) *proxy {
	t.Helper()
	ln, err := net.Listen("tcp", listen)
	assert.NilError(t, err)
	p := &proxy{to: to, ln: ln, pairs: map[*pair]bool{}, changed: make(chan struct{})}
	p.group.Go(p.accept)
	t.Cleanup(func() {
		_ = ln.Close()
		p.reset()
		p.group.Wait()
	})
	return p
}

func (p *proxy) accept() {
	for {
		near, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(near.(*net.TCPConn)) })
	}
}

func (p *proxy) serve(near *net.TCPConn) {
	dialer := net.Dialer{Timeout: time.Second}
	far, err := dialer.DialContext(context.Background(), "tcp", p.to)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	x := &pair{near: near, far: far.(*net.TCPConn), closed: make(chan struct{})}
	p.mu.Lock()
	p.pairs[x] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.pump(x, inward, x.near, x.far) })
	group.Go(func() { p.pump(x, outward, x.far, x.near) })
	group.Wait()
	x.close()
	p.mu.Lock()
	delete(p.pairs, x)
	p.mu.Unlock()
}

func (p *proxy) pump(x *pair, d direction, from, to *net.TCPConn) {
	buffer := make([]byte, proxyChunk)
	for {
		n, err := from.Read(buffer)
		if !p.pass(x, d) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			x.close()
			return
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// pass waits until bytes may go on; it returns false when the connection has ended.
func (p *proxy) pass(x *pair, d direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		blocked, changed := p.cut[d] > 0 || x.silent, p.changed
		p.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-x.closed:
			return false
		}
	}
}

func (p *proxy) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

// hold cuts the given directions until the returned function is called.
func (p *proxy) hold(ds ...direction) (heal func()) {
	add := func(n int) {
		p.change(func() {
			for _, d := range ds {
				p.cut[d] += n
			}
		})
	}
	add(1)
	return func() { add(-1) }
}

func (p *proxy) slow(delay time.Duration) (heal func()) {
	p.change(func() { p.delay = delay })
	return func() { p.change(func() { p.delay = 0 }) }
}

// silence makes the open connections pass nothing on for good; new ones work.
func (p *proxy) silence() {
	p.change(func() {
		for x := range p.pairs {
			x.silent = true
		}
	})
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		_ = x.near.SetLinger(0)
		_ = x.far.SetLinger(0)
		x.close()
	}
}
