package dispatcher

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT,
	// which bounds how long sent data may stay unacknowledged before the kernel
	// closes the connection.
	tcpUserTimeout = 0x12
)

// dialTCP opens a TCP connection with keep-alive probes and a user timeout, so
// that an unresponsive peer makes the connection fail in a bounded time.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(writeTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
