// Command tickets files, approves and refuses tickets against a platform held
// in memory, and reads back the configuration that a node would run.
//
//	go run ./examples/tickets
//
// The file firms.yaml is a ticket file for gentianctl.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

func main() {
	if err := run(context.Background(), os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, w io.Writer) error {
	platform := storer.NewFake().Client()
	tickets := ticketer.New(platform)
	if err := decide(ctx, w, tickets, crossings()); err != nil {
		return err
	}
	if err := decide(ctx, w, tickets, strayRoute()); err != nil {
		return err
	}
	head, _, snapshot, err := ticketer.Load(ctx, platform, nil)
	if err != nil {
		return err
	}
	route, service, found := snapshotter.Match(snapshot, "", "GET", "/roster/school-12")
	fmt.Fprintf(w, "version %d: route %s, service %s, found %t\n", head.Version, route.Name, service.Name, found)
	return nil
}

// decide files a ticket, has somebody else approve it, and prints what came of it.
func decide(ctx context.Context, w io.Writer, tickets *ticketer.Ticketer, draft ticketer.Draft) error {
	filed, err := tickets.File(ctx, draft)
	if err != nil {
		return err
	}
	decided, err := tickets.Approve(ctx, filed.Number, "ioana")
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "ticket %d: %s\n", decided.Number, decided.State())
	if refusal, ok := decided.Step(ticketer.StateRefused); ok {
		fmt.Fprintf(w, "  %v\n", refusal.Refusal)
	}
	return nil
}

func crossings() ticketer.Draft {
	return ticketer.Draft{
		Author: "mihai", Firm: "paza", Reason: "the roster service", Commit: "1f0c2aa",
		Change: snapshotter.Change{
			Services: []snapshotter.Service{{
				Name: "roster", Firm: "paza", Slots: 10, Connections: 120, Queue: 20,
				BulkPercent: 30, UrgentSlots: 2, RetryPercent: 20,
			}},
			Routes: []snapshotter.Route{{
				Name: "roster", Prefix: "/roster/", Service: "roster", Class: snapshotter.ClassShort,
				Idempotent: true, TimeoutMs: 2000,
			}},
		},
	}
}

// strayRoute names a service that does not exist.
func strayRoute() ticketer.Draft {
	return ticketer.Draft{
		Author: "mihai", Firm: "paza", Reason: "a route too early", Commit: "77ab3c0",
		Change: snapshotter.Change{Routes: []snapshotter.Route{{
			Name: "evidence", Prefix: "/evidence/", Service: "evidence", Class: snapshotter.ClassBulk, TimeoutMs: 60_000,
		}}},
	}
}
