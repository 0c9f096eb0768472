// Package inspector serves a node's admin address: metrics, health and readiness
// checks, and a read-only view of the blackboard.
package inspector

import (
	"cmp"
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/snapshotter"
)

// View is the part of the blackboard's state that operators see, as JSON.
type View struct {
	Self      SelfView                  `json:"self"`
	Lifecycle blackboard.LifecyclePhase `json:"life"`
	Config    ConfigView                `json:"config"`
	Lease     LeaseView                 `json:"lease"`
	Target    TargetView                `json:"target"`
	Members   []MemberView              `json:"members"`
	Remote    []RemoteView              `json:"remote"`
	Routes    []snapshotter.Route       `json:"routes"`
	Services  []snapshotter.Service     `json:"services"`
	Firms     []FirmView                `json:"firms,omitempty"`
}

// FirmView is a firm without its access keys and their digests.
type FirmView struct {
	Name string `json:"name"`
	// Keys is how many access keys the firm has.
	Keys     int    `json:"keys"`
	Rate     int    `json:"rate"`
	Burst    int    `json:"burst"`
	Priority int    `json:"priority"`
	Ticket   uint64 `json:"ticket"`
}

// SelfView identifies the node.
type SelfView struct {
	Host        string `json:"host"`
	DataCentre  string `json:"data-centre"`
	Region      string `json:"region"`
	Rack        string `json:"rack"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// LinkMbit is the speed of the host's link in Mbit/s; 0 when not known.
	LinkMbit int `json:"link-mbit,omitempty"`
}

// ConfigView describes the configuration version in force on the node.
type ConfigView struct {
	// Running is 0 when no version is in force.
	Running    uint64 `json:"running"`
	Floor      uint64 `json:"floor"`
	Recovering bool   `json:"recovering"`
	Parent     string `json:"parent,omitempty"`
	// Refused is nil when no version is refused.
	Refused *RefusedView `json:"refused,omitempty"`
}

// RefusedView is a version that the node cannot read or that breaks a rule.
type RefusedView struct {
	// Version is 0 when it could not be read either.
	Version uint64 `json:"version"`
	// Source is the address of the node that sent it; empty for the platform.
	Source string    `json:"source,omitempty"`
	Reason string    `json:"reason"`
	Since  time.Time `json:"since"`
}

// LeaseView describes the relay slot that the node holds and the relays that it
// knows.
type LeaseView struct {
	// Slot is negative when the node holds no slot.
	Slot    int         `json:"slot"`
	Epoch   uint64      `json:"epoch"`
	Expires time.Time   `json:"expires"`
	Relays  []RelayView `json:"relays"`
}

// RelayView names the holder of a relay slot.
type RelayView struct {
	Slot    int       `json:"slot"`
	Epoch   uint64    `json:"epoch"`
	Host    string    `json:"host"`
	Address string    `json:"address"`
	Expires time.Time `json:"expires"`
}

// TargetView is the target on this host.
type TargetView struct {
	Service   string                 `json:"service,omitempty"`
	Phase     blackboard.TargetPhase `json:"phase"`
	Slots     int                    `json:"slots"`
	Address   string                 `json:"address,omitempty"`
	ExpiresAt time.Time              `json:"lapses"`
}

// MemberView is a node of the same data centre.
type MemberView struct {
	Host        string                  `json:"host"`
	Address     string                  `json:"address"`
	Rack        string                  `json:"rack"`
	Incarnation uint64                  `json:"incarnation"`
	Status      blackboard.MemberStatus `json:"status"`
	Service     string                  `json:"service,omitempty"`
	Phase       blackboard.TargetPhase  `json:"phase"`
}

// RemoteView is the summary of another data centre.
type RemoteView struct {
	DataCentre string        `json:"data-centre"`
	Region     string        `json:"region"`
	Epoch      uint64        `json:"epoch"`
	Sequence   uint64        `json:"sequence"`
	Received   time.Time     `json:"received"`
	Services   []ServiceView `json:"services"`
}

// ServiceView counts ready targets of a service in another data centre.
type ServiceView struct {
	Service string `json:"service"`
	Targets int    `json:"targets"`
	Slots   int    `json:"slots"`
}

// NewView returns the view of a state.
func NewView(s *blackboard.State) View {
	v := View{
		Self:      SelfView(s.Self),
		Lifecycle: s.Lifecycle.Phase,
		Config:    configView(s.Config),
		Lease:     leaseView(s.Lease),
		Target: TargetView{
			Service:   s.Target.Record.Service,
			Phase:     s.Target.Record.Phase,
			Slots:     s.Target.Record.Slots,
			Address:   s.Target.Address,
			ExpiresAt: s.Target.ExpiresAt,
		},
		Members: memberViews(s.Members),
		Remote:  remoteViews(s.Members),
	}
	if running := s.Config.Running; running != nil {
		v.Routes = sorted(running.Routes, func(r snapshotter.Route) string { return r.Name })
		v.Services = sorted(running.Services, func(sv snapshotter.Service) string { return sv.Name })
		for _, f := range sorted(running.Firms, func(f snapshotter.Firm) string { return f.Name }) {
			v.Firms = append(v.Firms, FirmView{
				Name: f.Name, Keys: len(f.Keys), Rate: f.Rate, Burst: f.Burst, Priority: f.Priority, Ticket: f.Ticket,
			})
		}
	}
	return v
}

// sorted returns the values of a map in order of their names.
func sorted[V any](values map[string]V, name func(V) string) []V {
	out := make([]V, 0, len(values))
	for _, v := range values {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b V) int { return cmp.Compare(name(a), name(b)) })
	return out
}

func configView(c blackboard.Config) ConfigView {
	v := ConfigView{Floor: c.Floor, Recovering: c.Recovering, Parent: c.Parent}
	if c.Running != nil {
		v.Running = c.Running.Version
	}
	if c.Refused.IsSet() {
		v.Refused = &RefusedView{Version: c.Refused.Version, Source: c.Refused.Source, Reason: c.Refused.Reason, Since: c.Refused.SinceAt}
	}
	return v
}

func leaseView(l blackboard.Lease) LeaseView {
	v := LeaseView{Slot: l.Slot, Epoch: l.Epoch, Expires: l.Expires}
	for _, r := range l.Relays {
		v.Relays = append(v.Relays, RelayView(r))
	}
	return v
}

func memberViews(m blackboard.Members) []MemberView {
	members := sorted(m.ByHost, func(m blackboard.Member) string { return m.Host })
	out := make([]MemberView, 0, len(members))
	for _, m := range members {
		out = append(out, MemberView{
			Host:        m.Host,
			Address:     m.Address,
			Rack:        m.Rack,
			Incarnation: m.Incarnation,
			Status:      m.Status,
			Service:     m.Target.Service,
			Phase:       m.Target.Phase,
		})
	}
	return out
}

func remoteViews(m blackboard.Members) []RemoteView {
	summaries := sorted(m.Remote, func(s blackboard.DataCentreSummary) string { return s.DataCentre })
	out := make([]RemoteView, 0, len(summaries))
	for _, s := range summaries {
		v := RemoteView{
			DataCentre: s.DataCentre,
			Region:     s.Region,
			Epoch:      s.Epoch,
			Sequence:   s.Sequence,
			Received:   s.Received,
		}
		for _, sv := range s.Services {
			v.Services = append(v.Services, ServiceView{Service: sv.Service, Targets: sv.Targets, Slots: sv.Slots})
		}
		out = append(out, v)
	}
	return out
}
