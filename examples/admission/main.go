// Command admission offers requests to the gate in front of a target: uploads
// may hold half of the four slots, one slot is for urgent checks alone, and
// what does not fit waits or is refused.
//
//	go run ./examples/admission
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

func main() { run(os.Stdout) }

func run(w io.Writer) {
	now := time.Unix(0, 0)
	gate := limiter.NewGate(limiter.Limits{Slots: 4, Connections: 40, Queue: 2, BulkPercent: 50, UrgentSlots: 1})
	classes := []snapshotter.Class{
		snapshotter.ClassBulk, snapshotter.ClassBulk, snapshotter.ClassBulk,
		snapshotter.ClassShort, snapshotter.ClassShort, snapshotter.ClassShort, snapshotter.ClassUrgent,
	}
	for i, class := range classes {
		request := limiter.Request{ID: uint64(i + 1), Class: class, Firm: "paza", Deadline: now.Add(time.Minute)}
		d := gate.Offer(now, request)
		fmt.Fprintf(w, "request %d, %s: %s %s\n", request.ID, class, d.Verdict, d.Reason)
	}
	now = now.Add(5 * time.Millisecond)
	changes := gate.Done(now, 4, limiter.Result{Outcome: retrier.OutcomeDone})
	fmt.Fprintf(w, "request 4 is done; started from the queue: %v, dropped: %v\n", changes.Started, changes.Dropped)
}
