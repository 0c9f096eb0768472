package linker

import (
	"bufio"
	"context"
	"errors"
	"net"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/wirepb"
)

// maxStreams is the maximum number of streams of one session that are served at once.
const maxStreams = 1024

// Serve accepts sessions until ctx ends or the listener fails.
func (l *Linker) Serve(ctx context.Context, ln net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				break
			}
			return err
		}
		group.Go(func() error {
			l.ServeConn(ctx, conn)
			return nil
		})
	}
	return group.Wait()
}

// ServeConn serves the streams of one connection until the connection or ctx ends.
func (l *Linker) ServeConn(ctx context.Context, conn net.Conn) {
	cfg := l.yamuxConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = serverPingInterval
	counter := newConnCounter(l.countBytes, TrafficUnknown)
	session, err := yamux.Server(newCoalescer(conn, counter), cfg)
	if err != nil {
		_ = conn.Close()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	var group errgroup.Group
	group.SetLimit(maxStreams)
	for {
		stream, err := session.Accept()
		if err != nil {
			break
		}
		group.Go(func() error {
			l.serveStream(ctx, stream, counter)
			return nil
		})
	}
	cancel()
	_ = group.Wait()
}

func (l *Linker) serveStream(ctx context.Context, conn net.Conn, counter *connCounter) {
	defer conn.Close() //nolint:errcheck // the stream is no longer used
	r := bufio.NewReaderSize(conn, readBufferBytes)
	var opening wirepb.StreamOpen
	if err := encoder.Read(r, &opening, maxKindBytes); err != nil {
		return
	}
	counter.classify(opening.GetKind(), l.classify)
	if h := l.handlers[opening.GetKind()]; h != nil {
		h(ctx, &Stream{Conn: conn, Reader: r})
	}
}
