package snapshotter

import (
	"math"

	"gentianbarrow.example/internal/wirepb"
)

func decodeResources(m *wirepb.Resources) (*resources, error) {
	c := &resources{}
	for _, p := range m.GetServices() {
		s, err := decodeService(p)
		if err != nil {
			return nil, err
		}
		c.services = append(c.services, s)
	}
	for _, p := range m.GetRoutes() {
		r, err := decodeRoute(p)
		if err != nil {
			return nil, err
		}
		c.routes = append(c.routes, r)
	}
	for _, p := range m.GetRemovedServices() {
		c.removedServices = append(c.removedServices, tombstone{p.GetName(), p.GetTicket()})
	}
	for _, p := range m.GetRemovedRoutes() {
		c.removedRoutes = append(c.removedRoutes, tombstone{p.GetName(), p.GetTicket()})
	}
	for _, p := range m.GetFirms() {
		f, err := decodeFirm(p)
		if err != nil {
			return nil, err
		}
		c.firms = append(c.firms, f)
	}
	for _, p := range m.GetRemovedFirms() {
		c.removedFirms = append(c.removedFirms, tombstone{p.GetName(), p.GetTicket()})
	}
	return c, nil
}

// intDecoder converts numbers that must fit in an int on every platform. err is
// the last error.
type intDecoder struct{ err error }

func (d *intDecoder) toInt(field string, value uint64) int {
	if value > math.MaxInt32 {
		d.err = &rangeError{field, value}
		return 0
	}
	return int(value)
}

func decodeService(p *wirepb.Service) (Service, error) {
	var d intDecoder
	s := Service{
		Name:         p.GetName(),
		Firm:         p.GetFirm(),
		Slots:        d.toInt("slots", p.GetSlots()),
		Connections:  d.toInt("connections", p.GetConnections()),
		Queue:        d.toInt("queue", p.GetQueue()),
		BulkPercent:  d.toInt("bulk-percent", p.GetBulkPercent()),
		UrgentSlots:  d.toInt("urgent-slots", p.GetUrgentSlots()),
		RetryPercent: d.toInt("retry-percent", p.GetRetryPercent()),
		Ticket:       p.GetTicket(),
		HealthPath:   p.GetHealthPath(),
	}
	return s, d.err
}

func decodeRoute(p *wirepb.Route) (Route, error) {
	var d intDecoder
	r := Route{
		Name:       p.GetName(),
		Prefix:     p.GetPrefix(),
		Methods:    p.GetMethods(),
		Service:    p.GetService(),
		Class:      Class(p.GetClass()),
		Idempotent: p.GetIdempotent(),
		TimeoutMs:  d.toInt("timeout-ms", p.GetTimeoutMs()),
		Ticket:     p.GetTicket(),

		Host:            p.GetHost(),
		MaxAttempts:     d.toInt("max-attempts", p.GetMaxAttempts()),
		TargetLatencyMs: d.toInt("target-latency-ms", p.GetTargetLatencyMs()),
		Priority:        d.toInt("priority", p.GetPriority()),
		Keyless:         p.GetKeyless(),
		LargeAnswers:    p.GetLargeAnswers(),
	}
	for _, s := range p.GetSplit() {
		r.Split = append(r.Split, Share{Service: s.GetService(), Weight: d.toInt("weight", s.GetWeight())})
	}
	return r, d.err
}

func decodeFirm(p *wirepb.Firm) (Firm, error) {
	var d intDecoder
	f := Firm{
		Name:     p.GetName(),
		Rate:     d.toInt("rate", p.GetRate()),
		Burst:    d.toInt("burst", p.GetBurst()),
		Priority: d.toInt("priority", p.GetPriority()),
		Ticket:   p.GetTicket(),
	}
	for _, raw := range p.GetKeys() {
		k, err := ParseDigest(raw)
		if err != nil {
			return Firm{}, err
		}
		f.Keys = append(f.Keys, k)
	}
	return f, d.err
}

func decodeCallerLimits(p *wirepb.CallerLimits) (CallerLimits, error) {
	var d intDecoder
	c := CallerLimits{
		HeaderBytes:     d.toInt("header-bytes", p.GetHeaderBytes()),
		BodyBytes:       d.toInt("body-bytes", p.GetBodyBytes()),
		HeaderTimeoutMs: d.toInt("header-timeout-ms", p.GetHeaderTimeoutMs()),
		IdleTimeoutMs:   d.toInt("idle-timeout-ms", p.GetIdleTimeoutMs()),
	}
	return c, d.err
}
