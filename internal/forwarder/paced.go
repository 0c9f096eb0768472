package forwarder

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/pacer"
	"gentianbarrow.example/internal/smoother"
)

const (
	// maxSpooledAnswers bounds the long answers that are buffered here while they wait for
	// the link, with at most maxSpoolBytes each. Further ones stay at the target, which
	// holds its slot for them.
	maxSpooledAnswers = 16
	// answerBytesWeight is the weight of one answer in the moving average of sizes.
	answerBytesWeight = 0.1
)

// longAnswers paces the long answers to other nodes over the link of this host.
type longAnswers struct {
	link *pacer.Sync
	// spooled counts the answers that are buffered.
	spooled atomic.Int32

	mu sync.Mutex
	// bytes holds the mean size of the answers of each route. Guarded by mu.
	bytes smoother.RouteMeans
}

func newLongAnswers(mbit int) *longAnswers {
	return &longAnswers{link: pacer.NewSync(mbit), bytes: smoother.RouteMeans{Weight: answerBytesWeight}}
}

// expectedBytes returns the size that an answer of the route is likely to have; 0 if that
// is not long.
func (l *longAnswers) expectedBytes(route string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, _ := l.bytes.Mean(route)
	if mean <= singleFrameBodyBytes {
		return 0
	}
	return int(mean)
}

func (l *longAnswers) recordBytes(route string, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes.Add(route, float64(bytes))
}

// rejectLinkFull returns the refusal of a request whose answer would be sent too late
// behind other long answers, or nil.
func (x *incoming) rejectLinkFull(bytes int) *exchanger.Answer {
	now := time.Now()
	sentAt, queued := x.forwarder.long.link.SentAt(now, bytes)
	deadline := x.request.SoftDeadline
	if deadline.IsZero() {
		deadline = x.request.Deadline
	}
	if !queued || !sentAt.After(deadline) {
		return nil
	}
	a := x.forwarder.cfg.Refuse(x.request, exchanger.ReasonLinkFull)
	a.RetryAt = now.Add(sentAt.Sub(deadline))
	return a
}

// expectAnswer counts the answer of a request that starts as one that the link will have
// to send. The returned function must be called when the exchange ends.
func (x *incoming) expectAnswer() (refusal *exchanger.Answer, done func()) {
	long := x.forwarder.long
	if long == nil {
		return nil, func() {}
	}
	bytes := long.expectedBytes(x.request.Route)
	if bytes == 0 {
		return nil, func() {}
	}
	if a := x.rejectLinkFull(bytes); a != nil {
		return a, func() {}
	}
	long.link.Expect(bytes)
	return nil, func() { long.link.Expect(-bytes) }
}

// paceBody returns the body of a long answer so that its reader gets a piece when the
// link has room for it. stop must be called before the answer is closed; it waits until
// the body is no longer read.
func (x *incoming) paceBody(ctx context.Context, cancel context.CancelFunc, body io.Reader) (paced io.Reader, stop func()) {
	long := x.forwarder.long
	deadline := x.request.SoftDeadline
	if deadline.IsZero() {
		deadline = x.request.Deadline
	}
	if long.spooled.Add(1) > maxSpooledAnswers {
		long.spooled.Add(-1)
		return &pacedReader{ctx: ctx, body: body, link: long.link, deadline: deadline}, func() {}
	}
	spooled := newSpool()
	var filling sync.WaitGroup
	filling.Go(func() { spooled.fill(body) })
	return &pacedReader{ctx: ctx, body: spooled, link: long.link, deadline: deadline}, func() {
		if !spooled.isFilled() {
			cancel()
		}
		spooled.close()
		filling.Wait()
		long.spooled.Add(-1)
	}
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

// pacedReader reads pieces of a body as the link has room for them.
type pacedReader struct {
	ctx      context.Context
	body     io.Reader
	link     *pacer.Sync
	deadline time.Time
}

// Read returns at most a piece.
func (r *pacedReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p[:min(len(p), pacer.PieceBytes)])
	if n == 0 {
		return n, err
	}
	if waitErr := r.link.Wait(r.ctx, r.deadline, n); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}
