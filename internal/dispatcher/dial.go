package dispatcher

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	keepAliveEvery = 1 * time.Second
	keepAliveCount = 3
	// tcpUserTimeout is the TCP_USER_TIMEOUT option of Linux: how long sent
	// data may stay unacknowledged before the connection counts as dead.
	tcpUserTimeout = 0x12
)

// dialTCP connects so that a connection that goes silent fails in a bounded time.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(progressTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
