package forwarder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/smoother"
)

// maxBufferedAnswers bounds the long answers that a node buffers while the link sends them,
// each with at most about maxSpoolBytes. Further ones stay at the target, and hold its slots.
const maxBufferedAnswers = 16

// bufferAnswer returns the answer as it is sent. A long one that waits for the link of this
// host is read from the target at once, so that its slot is free while the link sends:
// calls need slots for a small part of the time that a long answer needs the link. stop
// must be called before the answer is closed; it waits until the body is no longer read.
func (x *incoming) bufferAnswer(cancel context.CancelFunc, a *exchanger.Answer) (sent *exchanger.Answer, stop func()) {
	f := x.forwarder
	if a.Outcome != retrier.OutcomeDone || f.cfg.Link == nil {
		return a, func() {}
	}
	counted := &countedReader{Reader: a.Body}
	copied := *a
	copied.Body = io.NopCloser(counted)
	record := func() { f.answerSizes.add(x.request.Route, counted.bytes.Load()) }
	if !x.isLong(a) {
		return &copied, record
	}
	if f.bufferedAnswers.Add(1) > maxBufferedAnswers {
		f.bufferedAnswers.Add(-1)
		return &copied, record
	}
	buffer := newSpool()
	var filling sync.WaitGroup
	filling.Go(func() { buffer.fill(counted) })
	copied.Body = io.NopCloser(buffer)
	return &copied, func() {
		if !buffer.isFilled() {
			cancel()
		}
		buffer.close()
		filling.Wait()
		f.bufferedAnswers.Add(-1)
		record()
	}
}

// isLong reports whether an answer is long, or is likely to be where it states no length.
func (x *incoming) isLong(a *exchanger.Answer) bool {
	length := bodyLength(x.request.Method, a.Status, a.ContentLength)
	if length < 0 {
		return x.forwarder.answerSizes.mean(x.request.Route) > singleFrameBodyBytes
	}
	return length > singleFrameBodyBytes
}

// countedReader counts the bytes that are read from it.
type countedReader struct {
	io.Reader
	bytes atomic.Int64
}

func (r *countedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.bytes.Add(int64(n))
	return n, err
}

// answerSizeWeight is the weight of one answer in the moving average of sizes.
const answerSizeWeight = 0.1

// answerSizes records the sizes of answers by route.
type answerSizes struct {
	mu sync.Mutex
	// byRoute holds the mean sizes in bytes. Guarded by mu.
	byRoute smoother.RouteMeans
}

func newAnswerSizes() *answerSizes {
	return &answerSizes{byRoute: smoother.RouteMeans{Weight: answerSizeWeight}}
}

func (s *answerSizes) add(route string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byRoute.Add(route, float64(bytes))
}

// mean returns the mean size of a route's answers, or 0 if there is none yet.
func (s *answerSizes) mean(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, _ := s.byRoute.Mean(route)
	return int64(mean)
}
