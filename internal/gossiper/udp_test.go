package gossiper

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
)

// TestLoopbackSockets runs complete nodes over loopback until each knows the others.
func TestLoopbackSockets(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	group, ctx := errgroup.WithContext(ctx)
	const nodes = 3
	var seed string
	ready := make(chan struct{}, nodes)
	for i := range nodes {
		udp, ln := listenBoth(ctx, t)
		if i == 0 {
			seed = udp.Address()
			sendInvalidPackets(ctx, t, seed)
		}
		startNode(ctx, group, udp, ln, host(i), seed, func() { ready <- struct{}{} }, nodes-1)
	}
	for range nodes {
		<-ready
	}
	cancel()
	assert.NilError(t, group.Wait())
}

// sendInvalidPackets sends a malformed and an oversized packet, which must not stop the receiver.
func sendInvalidPackets(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(ctx, "udp", address)
	assert.NilError(t, err)
	for _, packet := range [][]byte{{0xff}, make([]byte, 2*MaxPacketBytes)} {
		_, err = conn.Write(packet)
		assert.NilError(t, err)
	}
	assert.NilError(t, conn.Close())
}

// listenBoth opens a UDP and a TCP socket on the same free port.
func listenBoth(ctx context.Context, t *testing.T) (*UDP, net.Listener) {
	t.Helper()
	for range 100 {
		udp, err := ListenUDP(ctx, "127.0.0.1:0")
		assert.NilError(t, err)
		ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", udp.Address())
		if err == nil {
			return udp, ln
		}
		_ = udp.conn.Close() // another process uses the TCP port of the same number
	}
	t.Fatal("no port is free for both UDP and TCP")
	return nil, nil
}

func startNode(ctx context.Context, group *errgroup.Group, udp *UDP, ln net.Listener, name, seed string, onReady func(), others int) {
	links := linker.New()
	reported := false
	watcher := blackboard.Controller{
		Name: "watcher",
		Reduce: func(s blackboard.State, _ blackboard.Msg) (blackboard.State, []blackboard.Effect) {
			if !reported && LiveMembers(&s) == others {
				reported = true
				onReady()
			}
			return s, nil
		},
	}
	board := blackboard.New(blackboard.State{Self: blackboard.Self{
		Host: name, DataCentre: "buc-a", Address: udp.Address(), Incarnation: uint64(time.Now().UnixMicro()),
	}}, []blackboard.Controller{New(Config{
		Seeds: []string{seed},
		Send:  udp.Send,
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return links.Open(ctx, address, linker.TrafficControl, StreamKind)
		},
		FindPeers: func(context.Context) ([]string, error) { return nil, nil },
	}), watcher})
	links.Handle(StreamKind, Handler(board.Read, board.Post, time.Now))
	group.Go(func() error { return board.Run(ctx) })
	group.Go(func() error { return udp.Receive(ctx, "buc-a", board.Post) })
	group.Go(func() error { return links.Serve(ctx, ln) })
	group.Go(func() error {
		defer links.Close()
		return tickUntil(ctx, board)
	})
}

func tickUntil(ctx context.Context, board *blackboard.Board) error {
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			board.Post(blackboard.Tick{Now: now})
		}
	}
}
