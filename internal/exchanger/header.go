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
	// HeaderReplayed is "true" on an answer that was recorded for an idempotency key.
	HeaderReplayed = "Gentian-Replayed"
)

const reservedPrefix = "Gentian-"

var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd copies the headers that pass on beyond one connection. It leaves
// out the headers of this system.
func EndToEnd(h http.Header) http.Header {
	dropped := map[string]bool{}
	for _, name := range hopHeaders {
		dropped[name] = true
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if dropped[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		out[name] = values
	}
	return out
}
