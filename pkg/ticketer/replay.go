package ticketer

import (
	"context"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// replayTickets applies the tickets accepted between the previous snapshot and
// the head, because tickets are much smaller than the shards that they change.
// It returns nil if the head does not list all of them, if there are more tickets
// than changed shards, or if the result is not the snapshot of the head.
func replayTickets(ctx context.Context, client storer.Client, h Head, previous *snapshotter.Snapshot) *snapshotter.Snapshot {
	tickets := h.acceptedSince(previous)
	if len(tickets) == 0 || len(tickets) > countChangedShards(h, previous) {
		return nil
	}
	s := previous
	for _, number := range tickets {
		obj, err := client.Get(ctx, TicketKey(number))
		if err != nil {
			return nil
		}
		ticket, err := decodeTicket(number, obj.Value)
		if err != nil {
			return nil
		}
		if s, err = snapshotter.Apply(s, ticket.Change, number); err != nil {
			return nil
		}
	}
	if s.Digest() != h.Digest {
		return nil
	}
	return s
}

// acceptedSince returns the tickets accepted after a snapshot, or none if the head
// does not list all of them.
func (h Head) acceptedSince(previous *snapshotter.Snapshot) []uint64 {
	if previous == nil {
		return nil
	}
	var tickets []uint64
	for _, d := range h.Recent {
		if d.Outcome == OutcomeAccepted && d.Version > previous.Version {
			tickets = append(tickets, d.Ticket)
		}
	}
	if previous.Version+uint64(len(tickets)) != h.Version {
		return nil
	}
	return tickets
}

func countChangedShards(h Head, previous *snapshotter.Snapshot) int {
	changed := 0
	for i, d := range snapshotter.ShardDigests(previous) {
		if d != h.Shards[i] {
			changed++
		}
	}
	return changed
}
