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

// exchange tracks one request from the time it gets a slot to the end of its answer.
type exchange struct {
	executor *Executor
	request  *exchanger.Request
	release  func(limiter.Result)
	// entry belongs to the idempotency key; nil when there is none.
	entry   *deduplicator.Entry
	arrived time.Time
	started time.Time
	// callerGone reports whether the caller no longer waits.
	callerGone func() bool
}

// track ends the exchange when the answer ends: at once for a failure, else when
// its body has been read or closed.
func (x *exchange) track(a *exchanger.Answer) {
	if a.Outcome != retrier.OutcomeDone {
		x.recordFailure(a)
		return
	}
	a.Body = &trackedBody{body: a.Body, exchange: x, answer: *a}
	if x.executor.cfg.LinkQueue != nil {
		x.executor.readAhead.read(a)
	}
}

// recordFailure ends the exchange of an answer without a body and settles its key:
// the key is forgotten if the request was not run, else its outcome is unknown.
func (x *exchange) recordFailure(a *exchanger.Answer) {
	x.end(a, signalOf(a, time.Since(x.started), x.executor.cfg.BlameAfter))
	if x.entry == nil {
		return
	}
	if a.Outcome == retrier.OutcomeNotRun {
		x.entry.Forget()
		return
	}
	x.entry.MarkUnknown(time.Now())
}

// end frees the slot and reports the end of the exchange.
func (x *exchange) end(a *exchanger.Answer, signal healthSignal) {
	x.release(limiterResult(a))
	if x.executor.cfg.ReportHealth != nil && signal != signalNone {
		x.executor.cfg.ReportHealth(signal == signalGood)
	}
	if x.executor.cfg.Observe != nil {
		x.executor.cfg.Observe(x.request, x.started.Sub(x.arrived), time.Since(x.started))
	}
}

// trackedBody is the body of an answer. When the answer has ended it frees the
// slot and records the answer for the idempotency key.
type trackedBody struct {
	body     io.ReadCloser
	exchange *exchange
	answer   exchanger.Answer
	// copied is the start of the body, at most one byte more than is recorded: the
	// extra byte shows that the body is too large to record.
	copied bytes.Buffer
	// complete is set when the body was read to its end.
	complete bool
	// err ended the body before it was complete; nil if none did.
	err  error
	once sync.Once
}

// Read returns io.EOF only when the answer is complete.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if b.exchange.entry != nil {
		remaining := deduplicator.MaxAnswerBytes + 1 - b.copied.Len()
		b.copied.Write(p[:min(n, remaining)])
	}
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		b.complete = true
		b.finish()
	}
	if err != nil && !b.complete {
		b.err = err
	}
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
		if b.isTruncated() {
			b.exchange.executor.reportBroken(b.exchange.request, b.err)
		}
		b.exchange.end(&b.answer, b.signal())
		if b.exchange.entry != nil {
			b.exchange.entry.Complete(time.Now(), b.recordedAnswer())
		}
	})
}

// isTruncated reports whether the target broke off the body. When the caller goes away, the
// body ends early as well.
func (b *trackedBody) isTruncated() bool { return b.err != nil && !b.exchange.callerGone() }

// signal returns what the body shows of the target's health.
func (b *trackedBody) signal() healthSignal {
	switch {
	case b.complete:
		return signalGood
	case b.isTruncated():
		return signalBad
	default:
		return signalNone
	}
}

func (b *trackedBody) recordedAnswer() deduplicator.RecordedAnswer {
	out := deduplicator.RecordedAnswer{Status: b.answer.Status, Header: b.answer.Header}
	if !b.complete {
		out.BodyDropped = true
		return out
	}
	out.Body = b.copied.Bytes()
	return out
}

// replay returns a recorded answer, marked as replayed.
func replay(r deduplicator.RecordedAnswer) *exchanger.Answer {
	header := r.Header.Clone()
	header.Set(exchanger.HeaderReplayed, "true")
	return &exchanger.Answer{
		Outcome: retrier.OutcomeDone, Status: r.Status, Header: header,
		ContentLength: int64(len(r.Body)), Body: io.NopCloser(bytes.NewReader(r.Body)),
	}
}
