package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strconv"

	"gentianbarrow.example/internal/parser"
	"gentianbarrow.example/pkg/ticketer"
)

func (c call) tickets() *ticketer.Ticketer { return c.Connect(c.platform) }

func (c call) number() (uint64, error) {
	number, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil || number == 0 {
		return 0, &UsageError{Text: fmt.Sprintf("%q is not the number of a ticket", c.args[0])}
	}
	return number, nil
}

// operation is a command on one ticket in the name of an author.
func (c call) operation() (uint64, error) {
	if c.author == "" {
		return 0, &UsageError{Text: "--author is missing"}
	}
	return c.number()
}

func (c call) draft() (ticketer.Draft, error) {
	data, err := c.ReadFile(c.args[0])
	if err != nil {
		return ticketer.Draft{}, &UsageError{Text: err.Error()}
	}
	d, err := parser.Parse(data)
	d.Author = cmp.Or(c.author, d.Author)
	d.Firm = cmp.Or(c.firm, d.Firm)
	return d, err
}

func fileTicket(ctx context.Context, c call) error {
	d, err := c.draft()
	if err != nil {
		return err
	}
	ticket, err := c.tickets().File(ctx, d)
	if err != nil {
		return err
	}
	return c.answer(ticket, func(w io.Writer) {
		fmt.Fprintf(w, "ticket %d: filed by %s for %s\n", ticket.Number, ticket.Author, ticket.Firm)
		fmt.Fprintf(w, "next: somebody else runs \"gentianctl ticket approve %d\"\n", ticket.Number)
	})
}

func planTicket(ctx context.Context, c call) error {
	d, err := c.draft()
	if err != nil {
		return err
	}
	plan, err := c.tickets().Plan(ctx, d.Change)
	if err != nil {
		return err
	}
	if err := c.answer(plan, func(w io.Writer) { writePlan(w, plan) }); err != nil {
		return err
	}
	if plan.Refusal != nil {
		return plan.Refusal
	}
	return nil
}

func approveTicket(ctx context.Context, c call) error {
	number, err := c.operation()
	if err != nil {
		return err
	}
	ticket, err := c.tickets().Approve(ctx, number, c.author)
	if err != nil {
		return err
	}
	return c.decided(ticket)
}

func settleTicket(ctx context.Context, c call) error {
	number, err := c.number()
	if err != nil {
		return err
	}
	ticket, err := c.tickets().Settle(ctx, number)
	if err != nil {
		return err
	}
	return c.decided(ticket)
}

// decided prints a decided ticket. A refusal is the command's error too.
func (c call) decided(ticket ticketer.Ticket) error {
	if err := c.answer(ticket, func(w io.Writer) { writeTicket(w, ticket) }); err != nil {
		return err
	}
	if step, ok := ticket.Step(ticketer.StateRefused); ok {
		return step.Refusal
	}
	return nil
}

func withdrawTicket(ctx context.Context, c call) error {
	number, err := c.operation()
	if err != nil {
		return err
	}
	ticket, err := c.tickets().Withdraw(ctx, number, c.author)
	if err != nil {
		return err
	}
	return c.answer(ticket, func(w io.Writer) { writeTicket(w, ticket) })
}

func showTicket(ctx context.Context, c call) error {
	number, err := c.number()
	if err != nil {
		return err
	}
	standing, err := c.tickets().Show(ctx, number)
	if err != nil {
		return err
	}
	return c.answer(standing, func(w io.Writer) { writeStanding(w, standing) })
}

func listTickets(ctx context.Context, c call) error {
	list, err := c.tickets().List(ctx, c.last)
	if err != nil {
		return err
	}
	return c.answer(list, func(w io.Writer) {
		for _, ticket := range list {
			fmt.Fprintf(w, "%6d  %-9s  %-12s  %-10s  %s\n",
				ticket.Number, ticket.State(), printable(ticket.Firm), printable(ticket.Author), printable(ticket.Reason))
		}
	})
}

// trimmed is the answer of "ticket trim".
type trimmed struct {
	Deleted int `json:"deleted"`
}

func trim(ctx context.Context, c call) error {
	deleted, err := c.tickets().Trim(ctx)
	if err != nil {
		return err
	}
	return c.answer(trimmed{Deleted: deleted}, func(w io.Writer) {
		fmt.Fprintf(w, "%d unused shard(s) deleted\n", deleted)
	})
}
