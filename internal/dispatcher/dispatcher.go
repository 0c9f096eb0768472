// Package dispatcher sends requests to the target on this host. Callers depend
// only on Client, so support for another protocol needs another Client and no
// other change.
//
// NewHTTP expects targets to follow these rules in addition to HTTP/1.1:
//
//   - Requests carry Gentian-Request-Id, Gentian-Deadline (the remaining time in
//     milliseconds), Gentian-Depth, Gentian-Attempt from the second attempt on
//     and, if the caller sent one, Idempotency-Key. A target copies deadline,
//     depth and attempt to the calls that it makes.
//   - The head of every answer follows HTTP/1.1 to the letter, as package validator says.
//     Lines are not folded. A body ends by its length, its last chunk, or the close of its
//     connection.
//   - Every answer carries the Gentian-Request-Id of its request. An answer
//     with another one is discarded.
//   - An answer with Gentian-Shed: not-run means that the target did not start
//     the request. No other answer means that, whatever its status. It also
//     carries Gentian-Retried if the target shed the request because a call of
//     its own was answered with that header.
//   - Closing the connection cancels the request.
package dispatcher

import (
	"context"
	"fmt"

	"gentianbarrow.example/internal/exchanger"
)

// Client reaches the target of this host.
type Client struct {
	// Dispatch sends one request to the target at the address and returns when
	// the header of the answer has arrived or the exchange has failed. The outcome
	// is "not-run" only if it is certain that the target did not start the request.
	Dispatch func(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer
	// Close closes the idle connections.
	Close func()
}

// UnsignedError reports an answer without the signature of a target.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string {
	return fmt.Sprintf("answer with status %d is not signed by a target", e.Status)
}

// CrossedError reports an answer that carries the ID of another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}
