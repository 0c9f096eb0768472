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
	// HeaderFirm names the firm whose access key the request carried.
	HeaderFirm = "Gentian-Firm"
	// HeaderIdempotencyKey identifies a request, so that sending it again does not run it again.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is greater than 1 on a request that was sent before. A target
	// copies it to the calls that it makes for the request.
	HeaderAttempt = "Gentian-Attempt"
	// HeaderRetried is "true" on an answer that a node gives in place of a target:
	// the node has already decided on retries. A target that sheds a request because
	// one of its own calls got such an answer copies the header, and the request is
	// not sent again.
	HeaderRetried = "Gentian-Retried"
	// HeaderShed with the value ShedNotRun marks an answer of a target that did not
	// start the request.
	HeaderShed = "Gentian-Shed"
	ShedNotRun = "not-run"
	// HeaderReplayed is "true" on an answer that was recorded for an idempotency key.
	HeaderReplayed = "Gentian-Replayed"
)

// reservedPrefix begins the names of headers that are not forwarded end to end.
const reservedPrefix = "Gentian-"

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEndHeaders returns a copy of the headers without those of a single
// connection and without those of this system.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h)+addedHeaders)
	for name, values := range h {
		if !hopByHopHeaders[name] && !strings.HasPrefix(name, reservedPrefix) {
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

// addedHeaders is the capacity reserved for headers that are added to a copy.
const addedHeaders = 4
