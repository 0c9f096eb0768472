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

func (c invocation) ticketer() *ticketer.Ticketer { return c.NewTicketer(c.platform) }

// ticketNumber returns the ticket number that is the command's argument.
func (c invocation) ticketNumber() (uint64, error) {
	number, err := strconv.ParseUint(c.args[0], 10, 64)
	if err != nil || number == 0 {
		return 0, &UsageError{Message: fmt.Sprintf("%q is not the number of a ticket", c.args[0])}
	}
	return number, nil
}

// authoredTicketNumber returns the ticket number of a command that requires --author.
func (c invocation) authoredTicketNumber() (uint64, error) {
	if c.author == "" {
		return 0, &UsageError{Message: "--author is missing"}
	}
	return c.ticketNumber()
}

// readDraft reads the ticket file. Flags take precedence over the file.
func (c invocation) readDraft() (ticketer.Draft, error) {
	data, err := c.ReadFile(c.args[0])
	if err != nil {
		return ticketer.Draft{}, &UsageError{Message: err.Error()}
	}
	d, err := parser.Parse(data)
	d.Author = cmp.Or(c.author, d.Author)
	d.Firm = cmp.Or(c.firm, d.Firm)
	return d, err
}

func fileTicket(ctx context.Context, c invocation) error {
	d, err := c.readDraft()
	if err != nil {
		return err
	}
	ticket, err := c.ticketer().File(ctx, d)
	if err != nil {
		return err
	}
	return c.print(ticket, func(w io.Writer) {
		fmt.Fprintf(w, "ticket %d: filed by %s for %s\n", ticket.Number, ticket.Author, ticket.Firm)
		fmt.Fprintf(w, "next: somebody else runs \"gentianctl ticket approve %d\"\n", ticket.Number)
	})
}

func planTicket(ctx context.Context, c invocation) error {
	d, err := c.readDraft()
	if err != nil {
		return err
	}
	plan, err := c.ticketer().Plan(ctx, d.Change)
	if err != nil {
		return err
	}
	if err := c.print(plan, func(w io.Writer) { writePlan(w, plan) }); err != nil {
		return err
	}
	if plan.Refusal != nil {
		return plan.Refusal
	}
	return nil
}

func approveTicket(ctx context.Context, c invocation) error {
	number, err := c.authoredTicketNumber()
	if err != nil {
		return err
	}
	ticket, err := c.ticketer().Approve(ctx, number, c.author)
	if err != nil {
		return err
	}
	return c.printDecided(ticket)
}

func settleTicket(ctx context.Context, c invocation) error {
	number, err := c.ticketNumber()
	if err != nil {
		return err
	}
	ticket, err := c.ticketer().Settle(ctx, number)
	if err != nil {
		return err
	}
	return c.printDecided(ticket)
}

// printDecided prints a decided ticket. It returns the refusal as an error if the ticket was refused.
func (c invocation) printDecided(ticket ticketer.Ticket) error {
	if err := c.print(ticket, func(w io.Writer) { writeTicket(w, ticket) }); err != nil {
		return err
	}
	if step, ok := ticket.Step(ticketer.StateRefused); ok {
		return step.Refusal
	}
	return nil
}

func withdrawTicket(ctx context.Context, c invocation) error {
	number, err := c.authoredTicketNumber()
	if err != nil {
		return err
	}
	ticket, err := c.ticketer().Withdraw(ctx, number, c.author)
	if err != nil {
		return err
	}
	return c.print(ticket, func(w io.Writer) { writeTicket(w, ticket) })
}

func showTicket(ctx context.Context, c invocation) error {
	number, err := c.ticketNumber()
	if err != nil {
		return err
	}
	status, err := c.ticketer().Show(ctx, number)
	if err != nil {
		return err
	}
	return c.print(status, func(w io.Writer) { writeStatus(w, status) })
}

func listTickets(ctx context.Context, c invocation) error {
	list, err := c.ticketer().List(ctx, c.last)
	if err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		for _, ticket := range list {
			fmt.Fprintf(w, "%6d  %-9s  %-12s  %-10s  %s\n",
				ticket.Number, ticket.State(), printable(ticket.Firm), printable(ticket.Author), printable(ticket.Reason))
		}
	})
}

// trimOutput is the output of "ticket trim".
type trimOutput struct {
	Deleted int `json:"deleted"`
}

func trimShards(ctx context.Context, c invocation) error {
	deleted, err := c.ticketer().Trim(ctx)
	if err != nil {
		return err
	}
	return c.print(trimOutput{Deleted: deleted}, func(w io.Writer) {
		fmt.Fprintf(w, "%d unused shard(s) deleted\n", deleted)
	})
}
