// Command platform-standin serves the platform's object API from memory, for
// demonstrations and tests. It keeps nothing when it ends.
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
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/platformer"
	"gentianbarrow.example/pkg/storer"
)

const (
	readHeaderTimeout = 2 * time.Second
	exitUsage         = 2
	exitFailed        = 1
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "address to listen on, as ip:port")
	writes := flag.Int("writes-per-second", 0, "greatest rate of writes; 0 means no limit")
	reads := flag.Int("reads-per-second", 0, "greatest rate of reads and watches; 0 means no limit")
	flag.Parse()
	if flag.NArg() > 0 || *writes < 0 || *reads < 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	rates := storer.Rates{WritesPerSecond: *writes, ReadsPerSecond: *reads}
	log := logger.New(os.Stderr, logger.FormatText, logger.LevelInfo, "platform-standin", "")
	if err := run(ctx, log, *listen, rates); err != nil {
		log.Write(logger.StandinFailed, logger.Fields{Err: err})
		os.Exit(exitFailed) //nolint:gocritic // the signal handler ends with the process
	}
}

func run(ctx context.Context, log *logger.Logger, listen string, rates storer.Rates) error {
	store := storer.NewFake()
	store.SetRates(rates)
	server := &http.Server{Handler: platformer.New(store).Handler(), ReadHeaderTimeout: readHeaderTimeout}
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return err
	}
	log.Write(logger.StandinStarted, logger.Fields{Peer: ln.Addr().String()})
	fmt.Println("listening on", ln.Addr())
	var group errgroup.Group
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
