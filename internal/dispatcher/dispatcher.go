// Package dispatcher sends requests to the target on this host. Client is the
// seam: another target contract replaces this package and nothing else.
//
// The contract of NewHTTP, besides HTTP/1.1:
//
//   - Requests carry Gentian-Request-Id, Gentian-Deadline (milliseconds left),
//     Gentian-Depth, Gentian-Attempt and, when the caller sent one,
//     Idempotency-Key. A target passes deadline, depth and attempt on with the
//     calls that it makes.
//   - Every answer carries the Gentian-Request-Id of its request. An answer
//     with another one is passed over.
//   - An answer with Gentian-Shed: not-run says that the target did not start
//     the request. No other answer says so, whatever its status. It carries
//     Gentian-Retried when that is since a call of the target's own ended with
//     an answer that carried it.
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
	// the header of the answer has come or the exchange has failed. The outcome
	// is "not-run" only when the target provably did not start the request.
	Dispatch func(ctx context.Context, address string, r *exchanger.Request) *exchanger.Answer
	// Close ends the connections that are not in use.
	Close func()
}

// UnsignedError tells that an answer does not carry the signature of a target.
type UnsignedError struct{ Status int }

func (e *UnsignedError) Error() string {
	return fmt.Sprintf("answer with status %d is not signed by a target", e.Status)
}

// CrossedError tells that an answer belongs to another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}
