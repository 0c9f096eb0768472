package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// delayProxy passes connections on after a delay. What a sender has sent arrives even if it has given up.
type delayProxy struct {
	address string
	target  string
	delay   time.Duration
	ln      net.Listener
	group   *sync.WaitGroup
}

func startDelayProxy(ctx context.Context, target string, delay time.Duration) (*delayProxy, error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &delayProxy{address: ln.Addr().String(), target: target, delay: delay, ln: ln, group: &sync.WaitGroup{}}
	p.group.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.group.Go(func() { p.pass(ctx, conn) })
		}
	})
	return p, nil
}

func (p *delayProxy) pass(ctx context.Context, conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the connection is no longer used
	sleep(ctx, p.delay)
	var d net.Dialer
	to, err := d.DialContext(ctx, "tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close() //nolint:errcheck // the connection is no longer used
	_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.Copy(to, conn)
	_ = to.SetReadDeadline(time.Now().Add(time.Second))
	_, _ = io.Copy(conn, to)
}

func (p *delayProxy) close() {
	_ = p.ln.Close()
	p.group.Wait()
}
