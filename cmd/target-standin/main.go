// Command target-standin runs a target for demonstrations and trials.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/internal/targeter"
)

const headerTimeout = 5 * time.Second

type flags struct {
	service     string
	listen      string
	node        string
	slots       int
	connections int
	cold        time.Duration
	serviceTime time.Duration
}

func parse() flags {
	var f flags
	flag.StringVar(&f.service, "service", "", "name of the service")
	flag.StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen on, as ip:port")
	flag.StringVar(&f.node, "node", "", "address for targets of the node on this host, as ip:port")
	flag.IntVar(&f.slots, "slots", 10, "requests run at once")
	flag.IntVar(&f.connections, "connections", 120, "connections accepted")
	flag.DurationVar(&f.cold, "cold", 0, "length of the cold start")
	flag.DurationVar(&f.serviceTime, "service-time", 0, "time that each request takes")
	flag.Parse()
	return f
}

func main() {
	f := parse()
	if f.service == "" || f.node == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(f flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var listenConfig net.ListenConfig
	ln, err := listenConfig.Listen(ctx, "tcp", f.listen)
	if err != nil {
		return err
	}
	t := targeter.New(targeter.Config{
		Service: f.service, Slots: f.slots, Connections: f.connections,
		WarmAt: time.Now().Add(f.cold), ServiceTime: f.serviceTime,
	})
	server := &http.Server{
		Handler: t.Handler(), ReadHeaderTimeout: headerTimeout, ConnState: limit(int64(f.connections)),
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.Announce(ctx, f.node, ln.Addr().String()) })
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return group.Wait()
}

// limit closes connections beyond the most that the target accepts.
func limit(most int64) func(net.Conn, http.ConnState) {
	var open atomic.Int64
	return func(c net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			if open.Add(1) > most {
				_ = c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
}
