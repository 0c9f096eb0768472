package ticketer

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentianbarrow.example/pkg/snapshotter"
)

const (
	// TicketPrefix is followed by the number of the ticket, in ten digits.
	TicketPrefix = "tickets/"
	// LastTicketKey is the key of a hint: no number up to it is free.
	LastTicketKey = "last-ticket"
)

// TicketKey returns the key of a ticket.
func TicketKey(number uint64) string { return fmt.Sprintf("%s%010d", TicketPrefix, number) }

// State is where a ticket stands.
type State string

// The states of a ticket. Accepted, refused and withdrawn are final.
const (
	StateFiled     State = "filed"
	StateApproved  State = "approved"
	StateAccepted  State = "accepted"
	StateRefused   State = "refused"
	StateWithdrawn State = "withdrawn"
)

// Draft is what an operator files.
type Draft struct {
	// Author is the person who files the ticket, and may not approve it.
	Author string `json:"author" yaml:"author,omitempty"`
	// Firm on whose behalf the ticket is filed.
	Firm string `json:"firm" yaml:"firm,omitempty"`
	// Reason is for whoever has to judge the ticket.
	Reason string `json:"reason" yaml:"reason"`
	// Commit names the revision of the operator's own files that the ticket came from.
	Commit string `json:"commit" yaml:"commit"`
	// Change carries the whole new state of what the ticket touches.
	Change snapshotter.Change `json:"change" yaml:",inline"`
}

// Step is one thing that happened to a ticket.
type Step struct {
	State State  `json:"state"`
	By    string `json:"by,omitempty"`
	// At is by the clock of the operator's program.
	At time.Time `json:"at"`
	// OperationID is unique to the attempt that took this step, so that a write
	// whose answer was lost is recognised when it is read back.
	OperationID string `json:"operation-id"`
	// Version that the ticket became, when accepted.
	Version uint64 `json:"version,omitempty"`
	// Refusal says why, when refused.
	Refusal *snapshotter.RefusedError `json:"refusal,omitempty"`
}

// Ticket is the content of the object at TicketKey. Only Steps grow.
type Ticket struct {
	// Number is given at filing; later tickets have greater numbers.
	Number uint64 `json:"number"`
	Draft
	// Steps holds at least the filing, oldest first.
	Steps []Step `json:"steps"`
}

// State returns the state after the last step.
func (t Ticket) State() State {
	if len(t.Steps) == 0 {
		return ""
	}
	return t.Steps[len(t.Steps)-1].State
}

// Step returns the step that led to a state.
func (t Ticket) Step(state State) (Step, bool) {
	for _, s := range t.Steps {
		if s.State == state {
			return s, true
		}
	}
	return Step{}, false
}

// holds tells whether an operation took a step of the ticket.
func (t Ticket) holds(operationID string) bool {
	for _, s := range t.Steps {
		if s.OperationID == operationID {
			return true
		}
	}
	return false
}

// with returns the ticket after a further step.
func (t Ticket) with(s Step) Ticket {
	t.Steps = append(slices.Clone(t.Steps), s)
	return t
}

func (t Ticket) encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, &snapshotter.MalformedError{Subject: "ticket", Cause: err}
	}
	return data, nil
}

func decodeTicket(number uint64, data []byte) (Ticket, error) {
	var t Ticket
	if err := json.Unmarshal(data, &t); err != nil {
		return Ticket{}, &snapshotter.MalformedError{Subject: "ticket", Cause: err}
	}
	if t.Number != number || len(t.Steps) == 0 {
		return Ticket{}, &snapshotter.MalformedError{Subject: "ticket", Cause: &NumberError{Key: number, Number: t.Number}}
	}
	return t, nil
}

// Check tells what is wrong with a draft whatever configuration is in force.
// It returns *DraftError or *snapshotter.RefusedError.
func (d Draft) Check() error {
	fields := []struct{ name, value string }{
		{"author", d.Author}, {"firm", d.Firm}, {"reason", d.Reason}, {"commit", d.Commit},
	}
	for _, f := range fields {
		if strings.TrimSpace(f.value) == "" {
			return &DraftError{Field: f.name}
		}
	}
	return snapshotter.ValidateChange(d.Change)
}

// samePerson compares people as operators write them.
func samePerson(a, b string) bool {
	return strings.EqualFold(strings.TrimSpace(a), strings.TrimSpace(b))
}
