package executor

import (
	"bytes"
	"io"
	"sync"
	"time"

	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
)

// exchange follows one request from its slot to the end of its answer.
type exchange struct {
	executor *Executor
	request  *exchanger.Request
	release  func(limiter.Result)
	// entry of the idempotency key; nil when there is none.
	entry   *deduplicator.Entry
	arrived time.Time
	started time.Time
	// gone tells that the caller no longer waits.
	gone func() bool
}

// track makes the end of the answer end the exchange.
func (x *exchange) track(a *exchanger.Answer) {
	if a.Outcome != retrier.OutcomeDone {
		x.failed(a)
		return
	}
	a.Body = &trackedBody{body: a.Body, exchange: x, answer: *a}
}

func (x *exchange) failed(a *exchanger.Answer) {
	x.end(a, judge(a, time.Since(x.started), x.executor.cfg.BlameAfter))
	if x.entry == nil {
		return
	}
	if a.Outcome == retrier.OutcomeNotRun {
		x.entry.Forget()
		return
	}
	x.entry.MarkUnknown(time.Now())
}

func (x *exchange) end(a *exchanger.Answer, v verdict) {
	x.release(resultOf(a))
	if x.executor.cfg.ReportHealth != nil && v != verdictNone {
		x.executor.cfg.ReportHealth(v == verdictGood)
	}
	if x.executor.cfg.Observe != nil {
		x.executor.cfg.Observe(x.request, x.started.Sub(x.arrived), time.Since(x.started))
	}
}

// trackedBody frees the slot when the answer has ended and records the answer
// for the idempotency key.
type trackedBody struct {
	body     io.ReadCloser
	exchange *exchange
	answer   exchanger.Answer
	// copied is the start of the body, at most one byte over the recorded size.
	copied bytes.Buffer
	whole  bool
	// broken is true when the answer ended before it was whole.
	broken bool
	once   sync.Once
}

// Read returns io.EOF only when the answer is whole.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.exchange.entry != nil {
		room := deduplicator.MaxAnswerBytes + 1 - b.copied.Len()
		b.copied.Write(p[:min(n, room)])
	}
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.whole = true
		b.finish()
	}
	b.broken = err != nil && !b.whole
	return n, err
}

// Close ends the exchange.
func (b *trackedBody) Close() error {
	err := b.body.Close()
	b.finish()
	return err
}

func (b *trackedBody) finish() {
	b.once.Do(func() {
		b.exchange.end(&b.answer, b.verdict())
		if b.exchange.entry != nil {
			b.exchange.entry.Complete(time.Now(), b.recorded())
		}
	})
}

// verdict blames the target for a broken answer, unless the caller went away.
func (b *trackedBody) verdict() verdict {
	switch {
	case b.whole:
		return verdictGood
	case b.broken && !b.exchange.gone():
		return verdictBad
	default:
		return verdictNone
	}
}

func (b *trackedBody) recorded() deduplicator.RecordedAnswer {
	out := deduplicator.RecordedAnswer{Status: b.answer.Status, Header: b.answer.Header}
	if !b.whole {
		out.BodyDropped = true
		return out
	}
	out.Body = b.copied.Bytes()
	return out
}

// replay returns a recorded answer.
func replay(r deduplicator.RecordedAnswer) *exchanger.Answer {
	header := r.Header.Clone()
	header.Set(exchanger.HeaderReplayed, "true")
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: r.Status, Header: header,
		ContentLength: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body)),
	}
}
