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
	}
	return r, d.err
}
