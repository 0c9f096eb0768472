package exchanger

import (
	"net/http"
	"strings"
)

// Names of the headers of this system, in canonical form.
const (
	HeaderOutcome       = "Gentian-Outcome"
	HeaderReason        = "Gentian-Reason"
	HeaderRequestID     = "Gentian-Request-Id"
	HeaderTarget        = "Gentian-Target"
	HeaderConfigVersion = "Gentian-Config-Version"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Gentian-Deadline"
	HeaderDepth    = "Gentian-Depth"
	// HeaderIdempotencyKey names a request, so that sending it again does not run it again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is greater than 1 on a request that was sent before. A target passes it on with its own calls.
	HeaderAttempt = "Gentian-Attempt"
	// HeaderRetried is "true" on an answer that a node gave in a target's place:
	// the node has decided on retries. A target that sheds a request because a
	// call of its own ended so passes it on, and the request is not sent again.
	HeaderRetried = "Gentian-Retried"
	// HeaderShed marks an answer by which a target says that it did not start the request.
	HeaderShed = "Gentian-Shed"
	ShedNotRun = "not-run"
	// HeaderReplayed is "true" on an answer that was recorded for an idempotency key.
	HeaderReplayed = "Gentian-Replayed"
)

const reservedPrefix = "Gentian-"

// hopHeaders end at one connection.
var hopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd copies the headers that pass on beyond one connection. It leaves
// out the headers of this system.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+ownHeaders)
	for name, values := range h {
		if !hopHeaders[name] && !strings.HasPrefix(name, reservedPrefix) {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// ownHeaders is room for the headers that this system adds.
const ownHeaders = 4
