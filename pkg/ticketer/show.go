package ticketer

import (
	"context"
	"time"
)

// Standing tells where a ticket stands.
type Standing struct {
	Ticket Ticket `json:"ticket"`
	State  State  `json:"state"`
	// Decided is true from the moment that the head holds the decision, even
	// while the ticket's own record does not have it yet.
	Decided bool `json:"decided"`
	// AcceptedVersion of the whole configuration now.
	AcceptedVersion uint64 `json:"accepted-version"`
	// DataCentres is empty unless the ticket is accepted.
	DataCentres []DataCentreStanding `json:"data-centres,omitempty"`
	// StatusUnknown is true when the statuses could not be read.
	StatusUnknown bool `json:"status-unknown,omitempty"`
}

// DataCentreStanding tells on how many nodes of a data centre a version is in force.
type DataCentreStanding struct {
	DataCentre string `json:"data-centre"`
	// InForce counts nodes that ran the version or a later one at Counted.
	InForce int       `json:"in-force"`
	Nodes   int       `json:"nodes"`
	Counted time.Time `json:"counted"`
	// Known is false when the counts are too old to be relied on.
	Known bool `json:"known"`
}

// Show tells where a ticket stands. It writes nothing.
func (t *Ticketer) Show(ctx context.Context, number uint64) (Standing, error) {
	// The head is read before the ticket, as in Settle.
	head, _, err := t.loadHead(ctx)
	if err != nil {
		return Standing{}, err
	}
	s, err := t.load(ctx, number)
	if err != nil {
		return Standing{}, err
	}
	ticket := s.Ticket
	if d, ok := head.Decision(number); ok && ticket.State() == StateApproved {
		ticket = ticket.with(t.step(d))
	}
	standing := Standing{Ticket: ticket, State: ticket.State(), AcceptedVersion: head.Version}
	standing.Decided = standing.State == StateAccepted || standing.State == StateRefused
	if step, ok := ticket.Step(StateAccepted); ok {
		t.countInForce(ctx, &standing, step.Version)
	}
	return standing, nil
}

func (t *Ticketer) countInForce(ctx context.Context, standing *Standing, version uint64) {
	statuses, err := LoadStatuses(ctx, t.Store)
	if err != nil {
		standing.StatusUnknown = true
		return
	}
	now := t.Now()
	for _, s := range statuses {
		standing.DataCentres = append(standing.DataCentres, DataCentreStanding{
			DataCentre: s.DataCentre, InForce: s.InForce(version), Nodes: s.Nodes,
			Counted: s.CountedAt, Known: now.Before(s.ExpiresAt),
		})
	}
}

// List returns at most the given number of tickets, latest first.
func (t *Ticketer) List(ctx context.Context, limit int) ([]Ticket, error) {
	last, err := t.lastExisting(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]Ticket, min(uint64(max(limit, 0)), last))
	var reads []func() error
	for i := range list {
		reads = append(reads, func() error {
			s, err := t.load(ctx, last-uint64(i))
			list[i] = s.Ticket
			return err
		})
	}
	return list, t.all(reads)
}

// lastExisting follows the numbers from the hint, which may be behind.
func (t *Ticketer) lastExisting(ctx context.Context) (uint64, error) {
	last, _, err := t.lastNumber(ctx)
	for err == nil {
		_, err = t.get(ctx, TicketKey(last+1))
		if err == nil {
			last++
		}
	}
	if notFound(err) {
		return last, nil
	}
	return last, err
}
