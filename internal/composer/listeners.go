package composer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"gentianbarrow.example/internal/gossiper"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/platform"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// defaultCloseTimeout bounds how long a server waits for connections to become idle
	// after the last request has been answered, if the platform sets no grace period.
	defaultCloseTimeout = 3 * time.Second
)

// Whether accepted connections are probed while they are idle. Setting the probes up costs
// four system calls a connection, and callers open many. Those of the servers that use none
// are bounded by deadlines of requests and by idle timeouts.
const (
	defaultKeepAlive time.Duration = 0
	noKeepAlive      time.Duration = -1
)

// listeners holds the open listeners of a node.
type listeners struct {
	callers, nodes, targets, admin net.Listener
	// readiness is nil if the platform does not probe readiness.
	readiness net.Listener
	// packets is nil if nodes find each other through the platform.
	packets *gossiper.UDP
}

// openListeners opens all listeners. If one fails, it closes the others and returns
// the error.
func openListeners(ctx context.Context, l loader.Listen, api loader.PlatformAPI) (listeners, error) {
	var out listeners
	var opened []net.Listener
	for _, entry := range []struct {
		address   string
		to        *net.Listener
		keepAlive time.Duration
	}{
		{l.Callers, &out.callers, noKeepAlive},
		{l.Nodes, &out.nodes, defaultKeepAlive},
		{l.Targets, &out.targets, noKeepAlive},
		{l.Admin, &out.admin, noKeepAlive},
		{l.Readiness, &out.readiness, noKeepAlive},
	} {
		if entry.address == "" {
			continue
		}
		lc := net.ListenConfig{KeepAlive: entry.keepAlive}
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
func (n *Node) serveHTTP(g *runGroup) {
	g.start("callers", func(ctx context.Context) error {
		ln := newPatientListener(n.listeners.callers, n.noteAcceptFailure)
		return n.callers.Serve(ctx, newBoundedListener(ln, maxCallerConnections(n.settings.Limits.CallerConnections), n.callers.CloseIdle))
	})
	serve(g, "targets", newServer(n.announcements), n.listeners.targets, n.closeTimeout)
	if n.listeners.readiness != nil {
		serve(g, "readiness", newServer(platform.Readiness(n.newInspector().Ready)), n.listeners.readiness, n.closeTimeout)
	}
	serve(g, "admin", newServer(n.newInspector().Handler()), n.listeners.admin, n.closeTimeout)
}

// noteAcceptFailure logs a connection that could not be accepted. If that was for want of
// descriptors it closes idle connections of callers.
func (n *Node) noteAcceptFailure(err error) {
	n.log.WriteRequest(logger.AcceptFailed, logger.Fields{Err: err})
	if isShortage(err) {
		n.callers.CloseIdle()
	}
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// serve runs one server until the context of the group ends. It then waits at most
// closeTimeout for connections to become idle, so that the last bytes of answers
// are sent. A connection on which no request has arrived does not count as idle.
func serve(g *runGroup, name string, s *http.Server, ln net.Listener, closeTimeout time.Duration) {
	g.start(name, func(context.Context) error {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.start(name, func(ctx context.Context) error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
		defer cancel()
		if err := s.Shutdown(shutdownCtx); err != nil {
			return s.Close()
		}
		return nil
	})
}
