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

// Action is what a ticket does to a resource.
type Action string

// The actions on resources.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
	// ActionKeep means that the ticket sets what is set already.
	ActionKeep Action = "keep"
)

// FieldChange is a field with its value before and after, as JSON.
type FieldChange struct {
	Field string `json:"field"`
	From  string `json:"from"`
	To    string `json:"to"`
}

// Effect is what a ticket would do to one resource.
type Effect struct {
	Action   Action `json:"action"`
	Resource string `json:"resource"`
	// SetBy is the ticket that set the resource last; 0 when it is added.
	SetBy  uint64        `json:"set-by,omitempty"`
	Fields []FieldChange `json:"fields,omitempty"`
}

// Plan tells what a change would do if it were the next ticket.
type Plan struct {
	// Version that the change was tried upon.
	Version uint64 `json:"version"`
	// Ticket is the number that the change would get if it were filed now.
	Ticket  uint64   `json:"ticket"`
	Effects []Effect `json:"effects,omitempty"`
	// Refusal is set when the change would be refused.
	Refusal *snapshotter.RefusedError `json:"refusal,omitempty"`
}

// Plan tries a change upon the accepted configuration. It writes nothing.
func (t *Ticketer) Plan(ctx context.Context, c snapshotter.Change) (Plan, error) {
	last, err := t.lastExisting(ctx)
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
	plan.Effects = effects(base, next, c)
	return plan, nil
}

func effects(base, next *snapshotter.Snapshot, c snapshotter.Change) []Effect {
	var list []Effect
	for _, s := range c.Services {
		old, exists := base.Services[s.Name]
		list = append(list, setEffect("service "+s.Name, old.Ticket, exists, old, next.Services[s.Name]))
	}
	for _, r := range c.Routes {
		old, exists := base.Routes[r.Name]
		list = append(list, setEffect("route "+r.Name, old.Ticket, exists, old, next.Routes[r.Name]))
	}
	for _, name := range c.RemoveServices {
		list = append(list, Effect{Action: ActionRemove, Resource: "service " + name, SetBy: base.Services[name].Ticket})
	}
	for _, name := range c.RemoveRoutes {
		list = append(list, Effect{Action: ActionRemove, Resource: "route " + name, SetBy: base.Routes[name].Ticket})
	}
	return list
}

func setEffect(resource string, setBy uint64, exists bool, old, current any) Effect {
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
