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
	return c, nil
}

// small reads numbers that must fit in an int on every machine.
type small struct{ err error }

func (d *small) number(field string, value uint64) int {
	if value > math.MaxInt32 {
		d.err = &rangeError{field, value}
		return 0
	}
	return int(value)
}

func decodeService(p *wirepb.Service) (Service, error) {
	var d small
	s := Service{
		Name:         p.GetName(),
		Firm:         p.GetFirm(),
		Slots:        d.number("slots", p.GetSlots()),
		Connections:  d.number("connections", p.GetConnections()),
		Queue:        d.number("queue", p.GetQueue()),
		BulkPercent:  d.number("bulk-percent", p.GetBulkPercent()),
		UrgentSlots:  d.number("urgent-slots", p.GetUrgentSlots()),
		RetryPercent: d.number("retry-percent", p.GetRetryPercent()),
		Ticket:       p.GetTicket(),
		HealthPath:   p.GetHealthPath(),
	}
	return s, d.err
}

func decodeRoute(p *wirepb.Route) (Route, error) {
	var d small
	r := Route{
		Name:       p.GetName(),
		Prefix:     p.GetPrefix(),
		Methods:    p.GetMethods(),
		Service:    p.GetService(),
		Class:      Class(p.GetClass()),
		Idempotent: p.GetIdempotent(),
		TimeoutMs:  d.number("timeout-ms", p.GetTimeoutMs()),
		Ticket:     p.GetTicket(),

		Host:            p.GetHost(),
		MaxAttempts:     d.number("max-attempts", p.GetMaxAttempts()),
		TargetLatencyMs: d.number("target-latency-ms", p.GetTargetLatencyMs()),
		Priority:        d.number("priority", p.GetPriority()),
	}
	for _, s := range p.GetSplit() {
		r.Split = append(r.Split, Share{Service: s.GetService(), Weight: d.number("weight", s.GetWeight())})
	}
	return r, d.err
}

func decodeCallers(p *wirepb.CallerLimits) (CallerLimits, error) {
	var d small
	c := CallerLimits{
		HeaderBytes:     d.number("header-bytes", p.GetHeaderBytes()),
		BodyBytes:       d.number("body-bytes", p.GetBodyBytes()),
		HeaderTimeoutMs: d.number("header-timeout-ms", p.GetHeaderTimeoutMs()),
		IdleTimeoutMs:   d.number("idle-timeout-ms", p.GetIdleTimeoutMs()),
	}
	return c, d.err
}
