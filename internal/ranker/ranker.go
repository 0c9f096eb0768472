// Package ranker puts the nodes of a data centre into one order that every
// node works out alike from its member list. The elector and the follower use
// it to choose relays and parents without agreement.
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

// Rank returns the members that are not known to be dead or gone, in order.
func Rank(members map[string]blackboard.Member) []blackboard.Member {
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		if present(m) {
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

// Place returns how many members stand before a host, without sorting them.
func Position(members map[string]blackboard.Member, host string) int {
	self := ranked{xxhash.Sum64String(host), blackboard.Member{Host: host}}
	place := 0
	for _, m := range members {
		if present(m) && (ranked{xxhash.Sum64String(m.Host), m}).compare(self) < 0 {
			place++
		}
	}
	return place
}

const (
	// ordinaryLoss is how many times fewer members may be seen than are known
	// before calls to the platform are spread out.
	ordinaryLoss = 10
	// mostSpread bounds how much the time between calls grows.
	mostSpread = 20
)

// Spread returns how many times longer than usual the first nodes in the order
// wait between calls to the platform. It is more than 1 when a node sees far
// fewer members than it knows: then there may be many parts of the data centre
// cut off from each other, each with first nodes of its own.
func IntervalFactor(members map[string]blackboard.Member) time.Duration {
	known, seen := 0, 0
	for _, m := range members {
		if m.Status != blackboard.MemberLeft {
			known++
		}
		if present(m) {
			seen++
		}
	}
	parts := known / max(1, seen)
	return time.Duration(min(max(1, parts/ordinaryLoss), mostSpread))
}

type ranked struct {
	hash   uint64
	member blackboard.Member
}

func (a ranked) compare(b ranked) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.member.Host, b.member.Host))
}

func present(m blackboard.Member) bool {
	return m.Status == blackboard.MemberAlive || m.Status == blackboard.MemberSuspect
}

// Index returns the place of a host, or -1.
func Index(members []blackboard.Member, host string) int {
	return slices.IndexFunc(members, func(m blackboard.Member) bool { return m.Host == host })
}

// Hash returns a short hash of a host, for paths and jitter.
func Hash(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// Draw returns a number that looks random and depends only on the host, the
// time and the salt, so that a pure function can use it.
func PseudoRandom(host string, now time.Time, salt uint64) uint64 {
	buf := make([]byte, 0, len(host)+16)
	buf = append(buf, host...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(now.UnixNano()))
	buf = binary.LittleEndian.AppendUint64(buf, salt)
	return xxhash.Sum64(buf)
}

// Jitter returns a time between zero and span.
func Jitter(host string, now time.Time, salt uint64, span time.Duration) time.Duration {
	if span <= 0 {
		return 0
	}
	return time.Duration(PseudoRandom(host, now, salt) % uint64(span))
}

// Backoff returns how long to wait after a number of failures in a row:
// doubled each time up to a limit, and spread over the upper half.
func Backoff(host string, now time.Time, failures int, first, most time.Duration) time.Duration {
	wait := first
	for range failures - 1 {
		wait = min(2*wait, most)
		if wait == most {
			break
		}
	}
	return wait/2 + Jitter(host, now, uint64(failures), wait/2)
}
