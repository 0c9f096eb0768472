package ranker

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"gentianbarrow.example/internal/blackboard"
)

// ByLink returns the live members of a data centre, fast links first, and those with equal
// links by the hash of their hosts. It is the order in which nodes take on work for the others.
func ByLink(members map[string]blackboard.Member, dataCentre string) []blackboard.Member {
	var all []ranked
	for _, m := range members {
		if m.Status == blackboard.MemberAlive && m.DataCentre == dataCentre && m.Target.Phase != blackboard.TargetDraining {
			all = append(all, ranked{xxhash.Sum64String(m.Host), m})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.member.LinkMbit, a.member.LinkMbit), a.compare(b))
	})
	out := make([]blackboard.Member, len(all))
	for i := range all {
		out[i] = all[i].member
	}
	return out
}

// Rendezvous returns the host that a key belongs to. When a host comes or goes, only the
// keys that belong to it change.
func Rendezvous(key string, hosts []string) string {
	best, bestHash := "", uint64(0)
	for _, host := range hosts {
		h := xxhash.Sum64String(key + "\x00" + host)
		if best == "" || h > bestHash || h == bestHash && strings.Compare(host, best) < 0 {
			best, bestHash = host, h
		}
	}
	return best
}
