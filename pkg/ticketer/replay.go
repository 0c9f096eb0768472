package ticketer

import (
	"context"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// replayTickets applies the tickets between have and the head, which are much
// smaller than the shards that they touch. It returns nil when that cannot be
// done or does not lead to the snapshot that the head names.
func replayTickets(ctx context.Context, client storer.Client, h Head, have *snapshotter.Snapshot) *snapshotter.Snapshot {
	tickets := h.since(have)
	if len(tickets) == 0 || len(tickets) > changedShards(h, have) {
		return nil
	}
	s := have
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

// since returns the tickets accepted after a snapshot, or none when the head
// does not list all of them.
func (h Head) since(have *snapshotter.Snapshot) []uint64 {
	if have == nil {
		return nil
	}
	var tickets []uint64
	for _, d := range h.Recent {
		if d.Outcome == OutcomeAccepted && d.Version > have.Version {
			tickets = append(tickets, d.Ticket)
		}
	}
	if have.Version+uint64(len(tickets)) != h.Version {
		return nil
	}
	return tickets
}

func changedShards(h Head, have *snapshotter.Snapshot) int {
	changed := 0
	for i, d := range snapshotter.ShardDigests(have) {
		if d != h.Shards[i] {
			changed++
		}
	}
	return changed
}
