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
//     with another one is discarded.
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

// HeaderShed marks an answer by which a target says that it did not start the request.
const (
	HeaderShed = "Gentian-Shed"
	ShedNotRun = "not-run"
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

// SealedError tells that a connection was closed for writing before the request began on it.
type SealedError struct{}

func (*SealedError) Error() string { return "connection was given up before the request began" }

// CrossedError tells that an answer belongs to another request.
type CrossedError struct{ Want, Got string }

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not %q", e.Got, e.Want)
}
