package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/inspector"
	"gentianbarrow.example/pkg/snapshotter"
)

// fetchNodeView returns the state of the node at --node.
func (c invocation) fetchNodeView(ctx context.Context) (inspector.View, error) {
	if c.node == "" {
		return inspector.View{}, &UsageError{Message: "--node is missing"}
	}
	return c.FetchView(ctx, c.node)
}

// nodesOutput is the output of "nodes".
type nodesOutput struct {
	Self      inspector.SelfView        `json:"self"`
	Lifecycle blackboard.LifecyclePhase `json:"life"`
	Config    inspector.ConfigView      `json:"config"`
	Nodes     []inspector.MemberView    `json:"nodes"`
	Remote    []inspector.RemoteView    `json:"remote"`
}

func showNodes(ctx context.Context, c invocation) error {
	v, err := c.fetchNodeView(ctx)
	if err != nil {
		return err
	}
	return c.print(nodesOutput{Self: v.Self, Lifecycle: v.Lifecycle, Config: v.Config, Nodes: v.Members, Remote: v.Remote}, func(w io.Writer) {
		fmt.Fprintf(w, "nodes known to %s in %s (%s):\n", v.Self.Host, v.Self.DataCentre, v.Lifecycle)
		writeRefused(w, v.Config.Refused)
		for _, m := range v.Members {
			fmt.Fprintf(w, "  %-14s %-21s rack %-6s %-8s incarnation %d\n", m.Host, m.Address, m.Rack, m.Status, m.Incarnation)
		}
		for _, r := range v.Remote {
			fmt.Fprintf(w, "  data centre %s, last summary as of %s\n", r.DataCentre, formatTime(r.Received))
		}
	})
}

// targetsOutput is the output of "targets".
type targetsOutput struct {
	Targets []inspector.MemberView `json:"targets"`
	Remote  []inspector.RemoteView `json:"remote"`
}

func showTargets(ctx context.Context, c invocation) error {
	v, err := c.fetchNodeView(ctx)
	if err != nil {
		return err
	}
	output := targetsOutput{Remote: v.Remote}
	for _, m := range v.Members {
		if m.Service != "" {
			output.Targets = append(output.Targets, m)
		}
	}
	return c.print(output, func(w io.Writer) {
		for _, m := range output.Targets {
			fmt.Fprintf(w, "%-20s %-14s %-9s node %s\n", m.Service, m.Host, m.Phase, m.Status)
		}
		for _, r := range v.Remote {
			for _, s := range r.Services {
				fmt.Fprintf(w, "%-20s %d target(s) with %d slots in %s\n", s.Service, s.Targets, s.Slots, r.DataCentre)
			}
		}
	})
}

// configOutput is the output of "config".
type configOutput struct {
	Config   inspector.ConfigView  `json:"config"`
	Services []snapshotter.Service `json:"services"`
	Routes   []snapshotter.Route   `json:"routes"`
	Firms    []inspector.FirmView  `json:"firms,omitempty"`
}

func showConfig(ctx context.Context, c invocation) error {
	v, err := c.fetchNodeView(ctx)
	if err != nil {
		return err
	}
	output := configOutput{Config: v.Config, Services: v.Services, Routes: v.Routes, Firms: v.Firms}
	return c.print(output, func(w io.Writer) { writeConfig(w, v) })
}

// writeRefused tells which version the node refuses, if any.
func writeRefused(w io.Writer, r *inspector.RefusedView) {
	if r == nil {
		return
	}
	version := "a version whose number cannot be read"
	if r.Version != 0 {
		version = fmt.Sprintf("version %d", r.Version)
	}
	source := "the platform"
	if r.Source != "" {
		source = "the node at " + r.Source
	}
	fmt.Fprintf(w, "REFUSED: %s from %s, since %s: %s\n", version, source, formatTime(r.Since), printable(r.Reason))
}

func writeConfig(w io.Writer, v inspector.View) {
	switch {
	case v.Config.Running != 0:
		fmt.Fprintf(w, "version %d is in force on %s\n", v.Config.Running, v.Self.Host)
	case v.Config.Recovering:
		fmt.Fprintf(w, "no version is in force on %s yet; it needs one not older than %d\n", v.Self.Host, v.Config.Floor)
	default:
		fmt.Fprintf(w, "no version is in force on %s\n", v.Self.Host)
	}
	writeRefused(w, v.Config.Refused)
	for _, s := range v.Services {
		fmt.Fprintf(w, "  service %-20s firm %-10s slots %d connections %d (ticket %d)\n",
			s.Name, s.Firm, s.Slots, s.Connections, s.Ticket)
	}
	for _, r := range v.Routes {
		methods := "all methods"
		if len(r.Methods) > 0 {
			methods = strings.Join(r.Methods, ",")
		}
		keyless := ""
		if r.Keyless {
			keyless = ", keyless"
		}
		fmt.Fprintf(w, "  route   %-20s %s (%s) to %s, class %s, idempotent %t, timeout %d ms%s (ticket %d)\n",
			r.Name, r.Prefix, methods, r.Service, r.Class, r.Idempotent, r.TimeoutMs, keyless, r.Ticket)
	}
	for _, f := range v.Firms {
		limit := "no limit"
		if f.Rate > 0 {
			limit = fmt.Sprintf("%d a second, burst %d", f.Rate, f.Burst)
		}
		fmt.Fprintf(w, "  firm    %-20s keys: %d, %s, priority %d (ticket %d)\n", f.Name, f.Keys, limit, f.Priority, f.Ticket)
	}
}
