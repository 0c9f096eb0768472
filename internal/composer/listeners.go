package composer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"gentianbarrow.example/internal/gossiper"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// ownCloseTimeout bounds how long a server waits for connections to become idle
	// after the last request has been answered, where the platform sets no grace.
	ownCloseTimeout = 3 * time.Second
)

// listeners are the open addresses of a node.
type listeners struct {
	callers, nodes, targets, admin net.Listener
	// readiness is nil where the platform does not ask.
	readiness net.Listener
	// packets is nil where nodes know each other through the platform.
	packets *gossiper.UDP
}

// openListeners opens every address, or none.
func openListeners(ctx context.Context, l loader.Listen, api loader.PlatformAPI) (listeners, error) {
	var out listeners
	var lc net.ListenConfig
	var opened []net.Listener
	for _, entry := range []struct {
		address string
		to      *net.Listener
	}{
		{l.Callers, &out.callers},
		{l.Nodes, &out.nodes},
		{l.Targets, &out.targets},
		{l.Admin, &out.admin},
		{l.Readiness, &out.readiness},
	} {
		if entry.address == "" {
			continue
		}
		ln, err := lc.Listen(ctx, "tcp", entry.address)
		if err != nil {
			closeAll(opened)
			return listeners{}, err
		}
		opened = append(opened, ln)
		*entry.to = ln
	}
	if api == loader.PlatformObjects {
		return out, nil
	}
	packets, err := gossiper.ListenUDP(ctx, l.Nodes)
	if err != nil {
		closeAll(opened)
		return listeners{}, err
	}
	out.packets = packets
	return out, nil
}

func closeAll(opened []net.Listener) {
	for _, ln := range opened {
		_ = ln.Close()
	}
}

// serveHTTP starts the servers for callers, targets and operators.
func (n *Node) serveHTTP(p *parts) {
	p.start("callers", func(ctx context.Context) error {
		return n.callers.Serve(ctx, newBoundedListener(n.listeners.callers, n.settings.Limits.CallerConnections))
	})
	serve(p, "targets", newServer(n.announcements), n.listeners.targets, n.closeTimeout)
	if n.listeners.readiness != nil {
		serve(p, "readiness", newServer(platform.Readiness(n.inspect().Ready)), n.listeners.readiness, n.closeTimeout)
	}
	serve(p, "admin", newServer(n.inspect().Handler()), n.listeners.admin, n.closeTimeout)
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// serve runs one server until the context of the parts ends. It then waits a bounded time for
// connections to become idle, so that the last bytes of an answer are sent. A
// connection on which nothing has come yet is not idle.
func serve(p *parts, name string, s *http.Server, ln net.Listener, closeTimeout time.Duration) {
	p.start(name, func(context.Context) error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	p.start(name, func(ctx context.Context) error {
		<-ctx.Done()
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := s.Shutdown(closing); err != nil {
			return s.Close()
		}
		return nil
	})
}
