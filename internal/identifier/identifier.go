// Package identifier finds the firm that a request is of by its access key. Each request
// is identified by itself: connections carry requests of several firms, and a key that
// is removed counts no longer on open connections. It does no I/O.
package identifier

import (
	"strings"

	"gentianbarrow.example/pkg/snapshotter"
)

// Verdict is the result of an identification.
type Verdict string

// The verdicts on a request.
const (
	// VerdictAnyone means that the configuration has no firms, or that the route needs no
	// key and the request has none that is known.
	VerdictAnyone Verdict = "anyone"
	// VerdictFirm means that the request is of a firm.
	VerdictFirm Verdict = "firm"
	// VerdictUnknown means that the key is missing, malformed or not that of a firm.
	VerdictUnknown Verdict = "unknown"
)

// Identify returns the firm of a request on a route. values are those of the header that
// carries the key, behind the scheme and spaces. More than one value, or another scheme,
// is malformed; the case of the scheme does not matter.
func Identify(s *snapshotter.Snapshot, route snapshotter.Route, scheme string, values []string) (snapshotter.Firm, Verdict) {
	if len(s.Firms) == 0 {
		return snapshotter.Firm{}, VerdictAnyone
	}
	if key, ok := parseKey(scheme, values); ok {
		if firm, known := snapshotter.KeyOwner(s, key); known {
			return firm, VerdictFirm
		}
	}
	if route.Keyless {
		return snapshotter.Firm{}, VerdictAnyone
	}
	return snapshotter.Firm{}, VerdictUnknown
}

func parseKey(scheme string, values []string) (string, bool) {
	if len(values) != 1 {
		return "", false
	}
	name, key, found := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimLeft(key, " ")
	if !found || !strings.EqualFold(name, scheme) || key == "" || strings.ContainsAny(key, " \t") {
		return "", false
	}
	return key, true
}
