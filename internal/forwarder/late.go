package forwarder

import (
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/shedder"
	"gentianbarrow.example/internal/wirepb"
)

// stamp tells the receiver when the times left of the request were taken.
func (f *Forwarder) stamp(m *wirepb.ForwardRequest) {
	if f.cfg.Clock != nil {
		m.SenderIncarnation, m.SentMicro = f.cfg.Incarnation, f.cfg.Clock().Microseconds()
	}
}

// requestAge returns how long a request that has just been read was under way, on the link
// and unread in buffers at both ends.
func (f *Forwarder) requestAge(m *wirepb.ForwardRequest) time.Duration {
	if f.ages == nil || m.GetSenderIncarnation() == 0 || m.GetSentMicro() <= 0 {
		return f.delay()
	}
	age, known := f.ages.Age(m.GetSenderIncarnation(), time.Duration(m.GetSentMicro())*time.Microsecond)
	if !known {
		return f.delay()
	}
	return age
}

// delay returns how late this process runs.
func (f *Forwarder) delay() time.Duration {
	if f.cfg.Delay == nil {
		return 0
	}
	return f.cfg.Delay()
}

// rejectLate returns the refusal of a request that would not be served before its deadline,
// because it was under way for long or this node is short of processor time; nil otherwise.
func (x *incoming) rejectLate() *exchanger.Answer {
	now, delay := time.Now(), x.forwarder.delay()
	d := shedder.Decide(now, x.request.Deadline, delay, rand.Float64())
	if !d.Rejected {
		d = x.forwarder.cfg.Guard.Decide(now, shedder.Request{Deadline: x.request.Deadline, Priority: x.request.Priority, IsStarted: true})
	}
	if !d.Rejected {
		return nil
	}
	x.forwarder.cfg.Log.WriteRequest(logger.RequestNotAdmitted, logger.Fields{
		RequestID: x.request.ID, Service: x.request.Service, Route: x.request.Route, Reason: string(exchanger.ReasonNodeLate),
		Version: x.request.ConfigVersion, UnreadMillis: x.request.Unread.Milliseconds(), NodeLateMillis: delay.Milliseconds(),
		RemainingMillis: max(x.request.Deadline.Sub(now).Milliseconds(), 1),
	})
	a := x.forwarder.cfg.Refuse(x.request, exchanger.ReasonNodeLate)
	if a.Reason == exchanger.ReasonNodeLate {
		a.RetryAt = d.RetryAt
	}
	return a
}
