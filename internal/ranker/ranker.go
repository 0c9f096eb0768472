// Package ranker orders the nodes of a data centre by a hash of their names, so
// that nodes with the same member list compute the same order. The elector and
// the follower use it to choose relays and parents without coordination.
package ranker

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// Rank returns the members that are alive or suspect, in order.
func Rank(members map[string]blackboard.Member) []blackboard.Member {
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		if isPresent(m) {
			all = append(all, ranked{xxhash.Sum64String(m.Host), m})
		}
	}
	slices.SortFunc(all, ranked.compare)
	out := make([]blackboard.Member, len(all))
	for i := range all {
		out[i] = all[i].member
	}
	return out
}

// Position returns how many alive or suspect members precede a host in the order, without sorting them.
func Position(members map[string]blackboard.Member, host string) int {
	self := ranked{xxhash.Sum64String(host), blackboard.Member{Host: host}}
	position := 0
	for _, m := range members {
		if isPresent(m) && (ranked{xxhash.Sum64String(m.Host), m}).compare(self) < 0 {
			position++
		}
	}
	return position
}

const (
	// maxNormalLossRatio is the ratio of known to present members up to which
	// intervals stay as they are. Above it they grow in proportion.
	maxNormalLossRatio = 10
	// maxIntervalFactor bounds the growth of intervals.
	maxIntervalFactor = 20
)

// IntervalFactor returns the factor by which the first nodes in the order
// lengthen the intervals between their calls to the platform. It exceeds 1 if
// far fewer members are present than known: then the data centre may be
// partitioned into many parts, each of which has first nodes of its own.
func IntervalFactor(members map[string]blackboard.Member) time.Duration {
	known, seen := 0, 0
	for _, m := range members {
		if m.Status != blackboard.MemberLeft {
			known++
		}
		if isPresent(m) {
			seen++
		}
	}
	knownPerSeen := known / max(1, seen)
	return time.Duration(min(max(1, knownPerSeen/maxNormalLossRatio), maxIntervalFactor))
}

type ranked struct {
	hash   uint64
	member blackboard.Member
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.member.Host, b.member.Host))
}

func isPresent(m blackboard.Member) bool {
	return m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
}

// Index returns the index of a host in a list of members, or -1.
func Index(members []blackboard.Member, host string) int {
	return slices.IndexFunc(members, func(m blackboard.Member) bool { return m.Host == host })
}

// Hash returns a short hash of a host name, for paths.
func Hash(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// PseudoRandom returns a pseudo-random number that depends only on the host, the
// time and the salt, so that a pure function can use it.
func PseudoRandom(host string, now time.Time, salt uint64) uint64 {
	buf := make([]byte, 0, len(host)+16)
	buf = append(buf, host...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(now.UnixNano()))
	buf = binary.LittleEndian.AppendUint64(buf, salt)
	return xxhash.Sum64(buf)
}

// Jitter returns a pseudo-random duration from zero up to, but not including, span.
func Jitter(host string, now time.Time, salt uint64, span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(PseudoRandom(host, now, salt) % uint64(span))
}

// Backoff returns how long to wait after a number of consecutive failures. The
// wait doubles with each failure from first up to maxWait; jitter spreads it over
// its upper half.
func Backoff(host string, now time.Time, failures int, first, maxWait time.Duration) time.Duration {
	wait := first
	for range failures - 1 {
		wait = min(2*wait, maxWait)
		if wait == maxWait {
			break
		}
	}
	return wait/2 + Jitter(host, now, uint64(failures), wait/2)
}
