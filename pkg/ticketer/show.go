package ticketer

import (
	"context"
	"time"
)

// TicketStatus is a ticket with its state, and the rollout of its version if it is accepted.
type TicketStatus struct {
	Ticket Ticket `json:"ticket"`
	State  State  `json:"state"`
	// Decided is true once the head lists the decision, even if the stored ticket
	// does not record it yet.
	Decided bool `json:"decided"`
	// AcceptedVersion is the current version of the whole configuration.
	AcceptedVersion uint64 `json:"accepted-version"`
	// DataCentres is empty unless the ticket is accepted.
	DataCentres []Rollout `json:"data-centres,omitempty"`
	// StatusUnknown is true if the statuses of the data centres could not be read.
	StatusUnknown bool `json:"status-unknown,omitempty"`
}

// Rollout is the number of nodes of a data centre on which a version is in force.
type Rollout struct {
	DataCentre string `json:"data-centre"`
	// InForce is the number of nodes that ran the version or a later one at CountedAt.
	InForce   int       `json:"in-force"`
	Nodes     int       `json:"nodes"`
	CountedAt time.Time `json:"counted"`
	// Current is false if the counts are too old to be relied on.
	Current bool `json:"known"`
}

// Show returns the status of a ticket without storing anything. It returns
// *UnknownTicketError if there is no such ticket.
func (t *Ticketer) Show(ctx context.Context, number uint64) (TicketStatus, error) {
	// The head is read before the ticket, as in Settle.
	head, _, err := t.loadHead(ctx)
	if err != nil {
		return TicketStatus{}, err
	}
	s, err := t.loadTicket(ctx, number)
	if err != nil {
		return TicketStatus{}, err
	}
	ticket := s.Ticket
	if d, ok := head.Decision(number); ok && ticket.State() == StateApproved {
		ticket = ticket.withStep(t.decisionStep(d))
	}
	status := TicketStatus{Ticket: ticket, State: ticket.State(), AcceptedVersion: head.Version}
	status.Decided = status.State == StateAccepted || status.State == StateRefused
	if step, ok := ticket.Step(StateAccepted); ok {
		t.addRollouts(ctx, &status, step.Version)
	}
	return status, nil
}

// addRollouts adds the rollout of a version in every data centre to a ticket's status.
func (t *Ticketer) addRollouts(ctx context.Context, status *TicketStatus, version uint64) {
	statuses, err := LoadStatuses(ctx, t.Store)
	if err != nil {
		status.StatusUnknown = true
		return
	}
	now := t.Now()
	for _, dc := range statuses {
		status.DataCentres = append(status.DataCentres, Rollout{
			DataCentre: dc.DataCentre, InForce: dc.InForce(version), Nodes: dc.Nodes,
			CountedAt: dc.CountedAt, Current: now.Before(dc.ExpiresAt),
		})
	}
}

// List returns the latest tickets, at most limit of them, latest first.
func (t *Ticketer) List(ctx context.Context, limit int) ([]Ticket, error) {
	last, err := t.findLastNumber(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]Ticket, min(uint64(max(limit, 0)), last))
	var reads []func() error
	for i := range list {
		reads = append(reads, func() error {
			s, err := t.loadTicket(ctx, last-uint64(i))
			list[i] = s.Ticket
			return err
		})
	}
	return list, t.runAll(reads)
}

// findLastNumber returns the greatest ticket number in use. It starts from the
// hint at LastTicketKey, which may be too low.
func (t *Ticketer) findLastNumber(ctx context.Context) (uint64, error) {
	last, _, err := t.readLastNumber(ctx)
	for err == nil {
		_, err = t.get(ctx, TicketKey(last+1))
		if err == nil {
			last++
		}
	}
	if isNotFound(err) {
		return last, nil
	}
	return last, err
}
