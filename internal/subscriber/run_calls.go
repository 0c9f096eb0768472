package subscriber

import (
	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/attributor"
	"gentianbarrow.example/internal/wirepb"
)

// runCallsTicks is every how many updates a node repeats what it has learned of calls, so
// that the others keep it. A change is sent with the next update.
const runCallsTicks = 10

// RunCalls is what a node has learned of the calls of its target's runs.
type RunCalls struct {
	Calls []attributor.Estimate
	// CallerRoutes are routes that callers send.
	CallerRoutes []string
}

func encodeRunCalls(r RunCalls) *wirepb.RunCalls {
	if len(r.Calls)+len(r.CallerRoutes) == 0 {
		return nil
	}
	m := &wirepb.RunCalls{CallerRoutes: r.CallerRoutes}
	for _, e := range r.Calls {
		m.Calls = append(m.Calls, &wirepb.CallEstimate{
			Route: e.Route, Service: e.Service, CallsPerRun: float32(e.CallsPerRun), Weight: float32(e.Weight),
		})
	}
	return m
}

func decodeRunCalls(m *wirepb.RunCalls) RunCalls {
	r := RunCalls{CallerRoutes: m.GetCallerRoutes()}
	for _, e := range m.GetCalls() {
		r.Calls = append(r.Calls, attributor.Estimate{
			Route: e.GetRoute(), Service: e.GetService(), CallsPerRun: float64(e.GetCallsPerRun()), Weight: float64(e.GetWeight()),
		})
	}
	return r
}

// runCalls returns what a subscriber of this data centre has not been told lately of the
// calls of this host's target, or nil.
func (f *feed) runCalls() *wirepb.RunCalls {
	if !f.sameDataCentre {
		return nil
	}
	m := encodeRunCalls(f.sub.cfg.RunCalls())
	f.ticks++
	if m == nil || f.ticks%runCallsTicks != 1 && sameCalls(m, f.sentCalls) {
		return nil
	}
	f.sentCalls = m
	return m
}

// sameCalls reports whether two messages name the same calls and routes; their numbers
// differ all the time.
func sameCalls(a, b *wirepb.RunCalls) bool {
	if len(a.GetCalls()) != len(b.GetCalls()) || !proto.Equal(&wirepb.RunCalls{CallerRoutes: a.GetCallerRoutes()}, &wirepb.RunCalls{CallerRoutes: b.GetCallerRoutes()}) {
		return false
	}
	for i, e := range a.GetCalls() {
		other := b.GetCalls()[i]
		if e.GetRoute() != other.GetRoute() || e.GetService() != other.GetService() {
			return false
		}
	}
	return true
}
