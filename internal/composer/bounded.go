package composer

import (
	"net"
	"sync"
)

// boundedListener accepts no more than a number of connections at once.
// Further ones wait in the kernel's queue.
type boundedListener struct {
	net.Listener
	// slots holds one token a connection.
	slots chan struct{}
	done  chan struct{}
	once  sync.Once
}

func newBoundedListener(ln net.Listener, most int) *boundedListener {
	return &boundedListener{Listener: ln, slots: make(chan struct{}, most), done: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close stops accepting, also while Accept waits for a slot.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// boundedConn gives its slot back once when it is closed.
type boundedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// CloseWrite sends the end of the stream and leaves the other direction open.
func (c *boundedConn) CloseWrite() error {
	half, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return net.ErrClosed
	}
	return half.CloseWrite()
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
