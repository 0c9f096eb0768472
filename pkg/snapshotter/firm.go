package snapshotter

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"iter"
	"maps"
	"slices"
)

// keyDomain keeps the digests of access keys apart from other SHA-256 values.
const keyDomain = "gentianbarrow-access-key-1\x00"

// DigestKey returns the digest that takes the place of an access key in a snapshot. Keys
// are secrets: only digests are kept, compared, sent and shown.
func DigestKey(key string) Digest {
	var buf [len(keyDomain) + 2*sha256.Size]byte
	return sha256.Sum256(append(append(buf[:0], keyDomain...), key...))
}

// KeyOwner returns the firm that holds the access key. The time that it takes does not
// depend on how much of a key is right.
func KeyOwner(s *Snapshot, key string) (Firm, bool) {
	name, ok := s.loadKeyOwners()[DigestKey(key)]
	if !ok {
		return Firm{}, false
	}
	return s.Firms[name], true
}

func (s *Snapshot) loadKeyOwners() map[Digest]string {
	if owners := s.keyOwners.Load(); owners != nil {
		return *owners
	}
	owners := make(map[Digest]string, 2*len(s.Firms))
	for name, f := range s.Firms {
		for _, k := range f.Keys {
			owners[k] = name
		}
	}
	s.keyOwners.Store(&owners)
	return owners
}

func sameFirm(a, b Firm) bool {
	return a.Name == b.Name && slices.Equal(a.Keys, b.Keys) && a.Rate == b.Rate && a.Burst == b.Burst &&
		a.Priority == b.Priority && a.Ticket == b.Ticket
}

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// SortKeys sorts the digests of a firm's keys in place, as Firm.Keys has them.
func SortKeys(keys []Digest) { slices.SortFunc(keys, compareDigests) }

func firmLabel(name string) string { return "firm " + name }

func (v *violations) checkFirm(f Firm) {
	label := firmLabel(f.Name)
	v.checkName(label, "name", f.Name)
	v.checkRange(label, "rate", f.Rate, 0, MaxRate)
	v.checkRange(label, "burst", f.Burst, 0, MaxRate)
	v.checkRange(label, "priority", f.Priority, 0, MaxPriority)
	v.checkRange(label, "keys", len(f.Keys), 0, MaxKeys)
	for i, k := range f.Keys {
		if i > 0 && compareDigests(f.Keys[i-1], k) >= 0 {
			v.add(RefusedError{
				Rule: RuleKeyOrder, Resource: label, Field: "keys",
				Detail: "the digests of keys are not in ascending order or one stands twice",
			})
			return
		}
	}
}

// checkKeyOwners checks that no two firms share an access key. names are the firms to
// check, in the order in which they are reported.
func (v *violations) checkKeyOwners(s *Snapshot, names iter.Seq[string]) {
	owners := map[Digest]string{}
	for name := range names {
		for _, k := range s.Firms[name].Keys {
			other, taken := owners[k]
			if !taken {
				owners[k] = name
				continue
			}
			v.add(RefusedError{
				Rule: RuleSharedKey, Resource: firmLabel(name), Field: "keys", Ticket: s.Firms[other].Ticket,
				Detail: fmt.Sprintf("a key of it belongs to firm %s already", other),
			})
		}
	}
}

func sortedFirms(s *Snapshot) iter.Seq[string] {
	return slices.Values(slices.Sorted(maps.Keys(s.Firms)))
}
