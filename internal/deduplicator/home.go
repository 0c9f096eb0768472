package deduplicator

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders hosts by the hash of host and key, highest first (rendezvous
// hashing). The key is remembered on the first host. All nodes that know the same
// hosts agree on the order, and a host that joins or leaves does not change the
// order of the others.
func Rank(key string, hosts []string) []string {
	type ranked struct {
		host   string
		weight uint64
	}
	list := make([]ranked, len(hosts))
	for i, host := range hosts {
		list[i] = ranked{host: host, weight: weight(key, host)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.host, b.host))
	})
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.host
	}
	return out
}

// Home returns the host on which a key is remembered, or "" if there are no hosts.
func Home(key string, hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return Rank(key, hosts)[0]
}

func weight(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
