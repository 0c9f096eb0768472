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
	// TicketPrefix is the prefix of the keys of tickets. The ticket number follows in ten decimal digits.
	TicketPrefix = "tickets/"
	// LastTicketKey is the key of a hint for the next free ticket number: the
	// stored number and all below it are in use.
	LastTicketKey = "last-ticket"
)

// TicketKey returns the key of a ticket.
func TicketKey(number uint64) string { return fmt.Sprintf("%s%010d", TicketPrefix, number) }

// State is the state of a ticket.
type State string

// The states of a ticket. Accepted, refused and withdrawn are final.
const (
	StateFiled     State = "filed"
	StateApproved  State = "approved"
	StateAccepted  State = "accepted"
	StateRefused   State = "refused"
	StateWithdrawn State = "withdrawn"
)

// Draft is a ticket that is not filed yet.
type Draft struct {
	// Author is the person who files the ticket. The author may not approve it.
	Author string `json:"author" yaml:"author,omitempty"`
	// Firm is the firm on whose behalf the ticket is filed.
	Firm string `json:"firm" yaml:"firm,omitempty"`
	// Reason explains the change to the person who approves the ticket.
	Reason string `json:"reason" yaml:"reason"`
	// Commit is the revision of the operator's own files from which the ticket was made.
	Commit string `json:"commit" yaml:"commit"`
	// Change holds the complete new state of each resource that the ticket changes.
	Change snapshotter.Change `json:"change" yaml:",inline"`
}

// Step is one state transition of a ticket.
type Step struct {
	State State `json:"state"`
	// By is the operator who took the step. It is empty for a decision.
	By string `json:"by,omitempty"`
	// At is the time of the step by the clock of the operator's program.
	At time.Time `json:"at"`
	// OperationID is unique to the attempt that took this step. It identifies the
	// attempt's write when the answer to it was lost and the ticket is read back.
	OperationID string `json:"operation-id"`
	// Version is the configuration version that the ticket created. It is set only in the accepted step.
	Version uint64 `json:"version,omitempty"`
	// Refusal is the reason for a refusal. It is set only in the refused step.
	Refusal *snapshotter.RefusedError `json:"refusal,omitempty"`
}

// Ticket is the content of the object at TicketKey. Once filed, it changes only by
// steps that are appended.
type Ticket struct {
	// Number is assigned when the ticket is filed. Tickets filed later have greater numbers.
	Number uint64 `json:"number"`
	Draft
	// Steps lists the state transitions, oldest first. The first one is the filing.
	Steps []Step `json:"steps"`
}

// State returns the state after the last step, or "" if there is no step.
func (t Ticket) State() State {
	if len(t.Steps) == 0 {
		return ""
	}
	return t.Steps[len(t.Steps)-1].State
}

// Step returns the first step that led to the given state, and whether there is one.
func (t Ticket) Step(state State) (Step, bool) {
	for _, s := range t.Steps {
		if s.State == state {
			return s, true
		}
	}
	return Step{}, false
}

// hasOperation reports whether one of the ticket's steps was taken by the operation.
func (t Ticket) hasOperation(operationID string) bool {
	for _, s := range t.Steps {
		if s.OperationID == operationID {
			return true
		}
	}
	return false
}

// withStep returns a copy of the ticket with a further step.
func (t Ticket) withStep(s Step) Ticket {
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
		return Ticket{}, &snapshotter.MalformedError{Subject: "ticket", Cause: &NumberMismatchError{Key: number, Number: t.Number}}
	}
	return t, nil
}

// Validate checks a draft without regard to the accepted configuration. It returns
// *DraftError or *snapshotter.RefusedError.
func (d Draft) Validate() error {
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

// samePerson reports whether two names are equal, ignoring case and surrounding white space.
func samePerson(a, b string) bool {
	return strings.EqualFold(strings.TrimSpace(a), strings.TrimSpace(b))
}
