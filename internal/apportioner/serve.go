package apportioner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/encoder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/internal/wirepb"
)

// silenceTimeout is how long a node that reports may be silent before its stream ends.
const silenceTimeout = 5 * time.Second

// feed is the serving side of the stream of one node.
type feed struct {
	stream *linker.Stream
	// sequence is that of the latest report.
	sequence atomic.Uint64
	// wake asks for an answer.
	wake chan struct{}
}

// Serve takes the reports of a node until its stream ends.
func (a *Apportioner) Serve(ctx context.Context, s *linker.Stream) {
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{stream: s, wake: make(chan struct{}, 1)}
	var writing sync.WaitGroup
	writing.Go(func() { a.answer(ctx, f) })
	defer writing.Wait()
	defer s.Abort()
	defer cancel()
	host := ""
	for {
		var m wirepb.LimitReport
		if s.SetReadDeadline(time.Now().Add(silenceTimeout)) != nil {
			break
		}
		if err := encoder.Read(s.Reader, &m, maxMessageBytes); err != nil {
			break
		}
		if host == "" {
			if host = m.GetHost(); host == "" {
				break
			}
			a.addFeed(host, f)
		}
		f.sequence.Store(m.GetSequence())
		a.receive(time.Now(), host, decodeReport(&m))
		signal(f.wake)
	}
	a.removeFeed(host, f)
}

// answer writes the ratios each time that it is woken.
func (a *Apportioner) answer(ctx context.Context, f *feed) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		pace, released := a.keeper.Pace(time.Now(), f.sequence.Load())
		a.logReleased(released)
		if write(f.stream, encodePace(pace)) != nil {
			f.stream.Abort()
			return
		}
	}
}

// receive counts a report. If it takes a firm to its limit, all nodes are told at once.
func (a *Apportioner) receive(now time.Time, host string, r rationer.Report) {
	reached := a.keeper.Receive(now, host, r)
	if len(reached) == 0 {
		return
	}
	for _, firm := range reached {
		a.cfg.Log.WriteRequest(logger.FirmLimited, logger.Fields{Firm: firm})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.feeds {
		signal(f.wake)
	}
	if self := a.exchanges[a.cfg.State().Self.Host]; self != nil {
		signal(self.wake)
	}
}

func (a *Apportioner) logReleased(firms []string) {
	for _, firm := range firms {
		a.cfg.Log.WriteRequest(logger.FirmReleased, logger.Fields{Firm: firm})
	}
}

func (a *Apportioner) addFeed(host string, f *feed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.feeds[host] = f
}

// removeFeed ends the part of a node unless it has opened another stream meanwhile.
func (a *Apportioner) removeFeed(host string, f *feed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.feeds[host] != f {
		return
	}
	delete(a.feeds, host)
	a.keeper.Leave(host)
}
