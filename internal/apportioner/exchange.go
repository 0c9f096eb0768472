package apportioner

import (
	"context"
	"strings"
	"sync"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/internal/wirepb"
)

const (
	// minReportInterval is the time between two reports at least.
	minReportInterval = 20 * time.Millisecond
	// openTimeout bounds how long a keeper may take to accept a stream.
	openTimeout = 500 * time.Millisecond
	// writeTimeout bounds how long a message may wait for room on a stream.
	writeTimeout = 500 * time.Millisecond
	// maxMessageBytes bounds a report or an answer.
	maxMessageBytes = 256 << 10
)

// exchange carries the reports to one keeper.
type exchange struct {
	a       *Apportioner
	host    string
	address string
	cancel  context.CancelFunc
	// interval is the time between two reports that have something to tell.
	interval time.Duration
	// wake asks for a report before the next regular one.
	wake chan struct{}
}

func (e *exchange) run(ctx context.Context) {
	defer e.cancel()
	var err error
	if e.host == e.a.cfg.State().Self.Host {
		if err = e.reportToSelf(time.Now()); err == nil {
			err = e.every(ctx, e.reportToSelf)
		}
	} else {
		err = e.reportToPeer(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	e.a.cfg.Log.Write(logger.LimitKeeperLost, logger.Fields{Peer: e.host, Err: err})
	e.a.lose(e.host, time.Now())
}

// OverdueError reports that a keeper has not answered in time.
type OverdueError struct{ Host string }

func (e *OverdueError) Error() string { return "no answer of " + e.Host }

// every calls send when a report is due. It returns when the keeper does not answer, send
// fails or ctx ends.
func (e *exchange) every(ctx context.Context, send func(now time.Time) error) error {
	ticker := time.NewTicker(e.interval)
	defer ticker.Stop()
	lastReport := time.Now()
	for {
		var now time.Time
		select {
		case <-ctx.Done():
			return nil
		case now = <-ticker.C:
		case <-e.wake:
			now = time.Now()
			if now.Sub(lastReport) < minReportInterval {
				continue
			}
		}
		if e.a.node.Overdue(now, e.host) {
			return &OverdueError{Host: e.host}
		}
		if !e.a.node.HasNews(e.host) && now.Sub(lastReport) < rationer.BeatInterval(e.interval)-e.interval/2 {
			continue
		}
		lastReport = now
		if err := send(now); err != nil {
			return err
		}
	}
}

func (e *exchange) report(now time.Time) rationer.Report {
	r := e.a.node.Report(now, e.host)
	r.Interval = e.interval
	return r
}

// reportToSelf reports to the keeper in this process.
func (e *exchange) reportToSelf(now time.Time) error {
	r := e.report(now)
	e.a.receive(now, e.host, r)
	pace, released := e.a.keeper.Pace(now, r.Sequence)
	e.a.logReleased(released)
	e.a.node.Apply(now, e.host, pace, e.a.firm)
	return nil
}

// reportToPeer reports over a stream, until that fails or ctx ends.
func (e *exchange) reportToPeer(ctx context.Context) error {
	first := encodeReport(e.report(time.Now()))
	first.Host = e.a.cfg.State().Self.Host
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	s, err := e.a.cfg.Open(openCtx, e.address, StreamKind, first)
	cancel()
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var reading sync.WaitGroup
	defer reading.Wait()
	defer s.Abort()
	reading.Go(func() { e.readPaces(s) })
	return e.every(ctx, func(now time.Time) error {
		return write(s, encodeReport(e.report(now)))
	})
}

// readPaces applies what the keeper tells until the stream ends.
func (e *exchange) readPaces(s *linker.Stream) {
	for {
		var m wirepb.LimitPace
		if err := encoder.Read(s.Reader, &m, maxMessageBytes); err != nil {
			// The next report fails at once, so that the next keeper is asked.
			s.Abort()
			signal(e.wake)
			return
		}
		e.a.node.Apply(time.Now(), e.host, decodePace(&m), e.a.firm)
	}
}

func join(hosts []string) string { return strings.Join(hosts, ", ") }
