package acceptor

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Caller is what a Server knows of the sender of a request.
type Caller struct {
	// Arrived is when the first byte of the request arrived, by estimate. It lies before
	// the moment at which the request was read if the process was short of processor time.
	Arrived time.Time
	// IsGone reports whether the caller has closed its connection. It sees a close that
	// lies behind requests which have not been read yet, but not one that has not arrived.
	IsGone func() bool
	// Connection numbers the connections of the Server from 1.
	Connection uint64
	// MayStream reports whether the answer may be sent before its end is known: if it
	// breaks off, it takes the connection with it. It returns false while other requests of
	// the connection are in flight. Otherwise no further one starts before this one is done.
	MayStream func() bool
}

type callerKey struct{}

// CallerOf returns the sender of the request whose context this is; false for a request
// that no Server has read.
func CallerOf(ctx context.Context) (Caller, bool) {
	caller, ok := ctx.Value(callerKey{}).(Caller)
	return caller, ok
}

// isClosedByPeer reports whether the peer has closed or reset the connection.
func (c *conn) isClosedByPeer() bool {
	return c.ctx.Err() != nil || c.poll(unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// hasUnread reports whether bytes have arrived that the process has not read.
func (c *conn) hasUnread() bool { return c.poll(unix.POLLIN)&unix.POLLIN != 0 }

// poll returns which of the events have occurred on the connection; none if that cannot be
// told.
func (c *conn) poll(events int16) int16 {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	occurred := int16(0)
	err = raw.Control(func(fd uintptr) {
		list := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, pollErr := unix.Poll(list, 0); pollErr == nil && n > 0 {
			occurred = list[0].Revents
		}
	})
	if err != nil {
		return 0
	}
	return occurred
}
