package deduplicator

import "github.com/cespare/xxhash/v2"

// Home returns the host on which a key is remembered: the one with the highest
// hash of host and key (rendezvous hashing). It returns "" when there is no
// host. All nodes that know the same hosts agree on it, and a host that joins
// or leaves moves only its own share of the keys.
func Home(key string, hosts []string) string {
	best := ""
	var bestWeight uint64
	for _, host := range hosts {
		weight := weight(key, host)
		if best == "" || weight > bestWeight || (weight == bestWeight && host < best) {
			best, bestWeight = host, weight
		}
	}
	return best
}

func weight(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
