package ticketer

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"gentianbarrow.example/pkg/snapshotter"
)

// Action is the effect of a ticket on a resource.
type Action string

// The actions on resources.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
	// ActionKeep means that the ticket sets a resource to the state that it has already.
	ActionKeep Action = "keep"
)

// FieldChange is a field with its values before and after the change, as JSON or "none".
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Effect is the effect that a change would have on one resource.
type Effect struct {
	Action   Action `json:"action"`
	Resource string `json:"resource"`
	// SetBy is the number of the ticket that set the resource last, or 0 if it is added.
	SetBy  uint64        `json:"set-by,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Plan describes the effects of a change if it were the next ticket.
type Plan struct {
	// Version is the configuration version to which the change was applied.
	Version uint64 `json:"version"`
	// Ticket is the number that the change would get if it were filed now.
	Ticket  uint64   `json:"ticket"`
	Effects []Effect `json:"effects,omitempty"`
	// Refusal is the reason for which the change would be refused, or nil.
	Refusal *snapshotter.RefusedError `json:"refusal,omitempty"`
}

// Plan applies a change to the accepted configuration without storing anything.
func (t *Ticketer) Plan(ctx context.Context, c snapshotter.Change) (Plan, error) {
	last, err := t.findLastNumber(ctx)
	if err != nil {
		return Plan{}, err
	}
	store := t.Store
	store.Get = t.get
	_, _, base, err := Load(ctx, store, nil)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{Version: base.Version, Ticket: last + 1}
	next, err := snapshotter.Apply(base, c, plan.Ticket)
	if errors.As(err, &plan.Refusal) {
		return plan, nil
	}
	if err != nil {
		return Plan{}, err
	}
	plan.Effects = listEffects(base, next, c)
	return plan, nil
}

func listEffects(base, next *snapshotter.Snapshot, c snapshotter.Change) []Effect {
	var list []Effect
	for _, s := range c.Services {
		old, exists := base.Services[s.Name]
		list = append(list, compareResource("service "+s.Name, old.Ticket, exists, old, next.Services[s.Name]))
	}
	for _, r := range c.Routes {
		old, exists := base.Routes[r.Name]
		list = append(list, compareResource("route "+r.Name, old.Ticket, exists, old, next.Routes[r.Name]))
	}
	for _, f := range c.Firms {
		old, exists := base.Firms[f.Name]
		list = append(list, compareResource("firm "+f.Name, old.Ticket, exists, newFirmSummary(old), newFirmSummary(next.Firms[f.Name])))
	}
	for _, name := range c.RemoveServices {
		list = append(list, Effect{Action: ActionRemove, Resource: "service " + name, SetBy: base.Services[name].Ticket})
	}
	for _, name := range c.RemoveRoutes {
		list = append(list, Effect{Action: ActionRemove, Resource: "route " + name, SetBy: base.Routes[name].Ticket})
	}
	for _, name := range c.RemoveFirms {
		list = append(list, Effect{Action: ActionRemove, Resource: "firm " + name, SetBy: base.Firms[name].Ticket})
	}
	return list
}

// firmSummary is a firm with the beginnings of its keys' digests, which tell keys apart.
type firmSummary struct {
	snapshotter.Firm
	Keys []string `json:"keys"`
}

// summaryDigits is how many digits of the digest of a key a summary shows.
const summaryDigits = 8

func newFirmSummary(f snapshotter.Firm) firmSummary {
	s := firmSummary{Firm: f, Keys: []string{}}
	for _, k := range f.Keys {
		s.Keys = append(s.Keys, k.String()[:summaryDigits])
	}
	return s
}

func compareResource(resource string, setBy uint64, exists bool, old, current any) Effect {
	if !exists {
		return Effect{Action: ActionAdd, Resource: resource}
	}
	e := Effect{Action: ActionKeep, Resource: resource, SetBy: setBy, Fields: fieldChanges(old, current)}
	if len(e.Fields) > 0 {
		e.Action = ActionChange
	}
	return e
}

// fieldChanges compares two resources of one kind by their JSON keys.
func fieldChanges(old, current any) []FieldChange {
	before, after := jsonFields(old), jsonFields(current)
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	delete(keys, "ticket")
	var changes []FieldChange
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		from, to := string(before[key]), string(after[key])
		if from != to {
			changes = append(changes, FieldChange{Field: key, From: cmp.Or(from, "none"), To: cmp.Or(to, "none")})
		}
	}
	return changes
}

func jsonFields(resource any) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(resource)
	if err == nil {
		err = json.Unmarshal(data, &fields)
	}
	if err != nil {
		fields["error"] = json.RawMessage(fmt.Sprintf("%q", err.Error()))
	}
	return fields
}
