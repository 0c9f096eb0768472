// Command gentian-node is the process of the system on a target host.
//
//	gentian-node --settings node.yaml
//	gentian-node --settings node.yaml --check-settings
//
// It ends with code 0 after draining, 1 when it failed, and 2 when the command
// line or the settings are wrong; then nothing was started.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"gentianbarrow.example/internal/composer"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/logger"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// signalsWaiting is how many signals are kept while the node is busy.
const signalsWaiting = 8

func main() {
	path := flag.String("settings", "", "settings file of this node")
	checkOnly := flag.Bool("check-settings", false, "check the settings file and start nothing")
	flag.Parse()
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	settings, err := loader.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return
	}
	lines := logger.NewWriter(os.Stdout)
	log := logger.New(lines, settings.Log.Format, settings.Log.Level, settings.Host, settings.DataCentre)
	ctx, cancel := context.WithCancel(context.Background())
	var writing sync.WaitGroup
	writing.Go(func() { lines.Run(ctx) })
	err = run(*path, settings, log)
	if err != nil {
		log.Write(logger.NodeFailed, logger.Fields{Err: err})
	}
	cancel()
	writing.Wait()
	if err != nil {
		os.Exit(exitFailed)
	}
}

func run(path string, settings loader.Settings, log *logger.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, err := composer.Listen(ctx, settings, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, signalsWaiting)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stops := make(chan time.Time)
	var group errgroup.Group
	group.Go(func() error {
		defer cancel()
		return n.Run(ctx, stops)
	})
	group.Go(func() error {
		passStops(ctx, signals, stops)
		return nil
	})
	hups := make(chan os.Signal, signalsWaiting)
	signal.Notify(hups, syscall.SIGHUP)
	group.Go(func() error {
		loader.Watch(ctx, path, settings, hups, func(c loader.Reload) { reportChange(log, c) })
		return nil
	})
	return group.Wait()
}

func reportChange(log *logger.Logger, c loader.Reload) {
	if c.Err != nil {
		log.Write(logger.SettingsRefused, logger.Fields{Err: c.Err})
		return
	}
	log.Write(logger.SettingsChanged, logger.Fields{Reason: strings.Join(c.Keys, ", "), Count: len(c.Keys)})
}

// passStops turns signals into stop requests until ctx ends.
func passStops(ctx context.Context, signals <-chan os.Signal, stops chan<- time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		select {
		case <-ctx.Done():
			return
		case stops <- time.Now():
		}
	}
}
