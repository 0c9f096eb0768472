package soaker

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/platform/emulator"
)

const (
	// firmName is the firm of most requests, firmKey its key that stays.
	firmName, firmKey = "hotels", "key-of-hotels-for-good"
	// otherFirmName has one key, otherFirmKey.
	otherFirmName, otherFirmKey = "laundries", "key-of-laundries-for-good"
	// versionKeyPrefix begins the keys that come with a version.
	versionKeyPrefix = "key-of-version-"
	// keptVersions is for how many versions the key that came with one is kept.
	keptVersions = 2
	// statusNoKey is how a node answers a request whose key is unknown.
	statusNoKey = 401
	// unreadablePath is a route of the versions that cannot be read.
	unreadablePath = "/unreadable/"
)

// versionKey is the key that came with a version.
func versionKey(n int) string { return fmt.Sprintf("%s%d-", versionKeyPrefix, n) }

// firms returns the firms of a version: it brings a key and takes one away.
func (m *mesh) firms(last int) []emulator.Firm {
	if !m.hasFirms {
		return nil
	}
	hotels := emulator.Firm{Name: firmName, Keys: []string{firmKey}}
	for n := max(last-keptVersions+1, 1); n <= last; n++ {
		hotels.Keys = append(hotels.Keys, versionKey(n))
	}
	return []emulator.Firm{hotels, {Name: otherFirmName, Keys: []string{otherFirmKey}}}
}

// configureUnreadable writes a version with a word that nodes do not know. Nothing of it may
// be in force.
func (m *mesh) configureUnreadable(step uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number += step
	last := len(m.versions)
	routes := append(m.routes(last), route("unreadable", unreadablePath, "roster", emulator.KindRead))
	routes[0].Kind = "unknown-word"
	m.store.Configure(m.number, routes, services, m.firms(last), m.ledger)
}

// probeKeys sends the keys that came with the newest version, and with the last one whose key
// a version that the process has served has taken away.
func (m *mesh) probeKeys(c *emulator.Caller, h *host, seen int) {
	incarnation, _ := h.node.incarnation()
	latest := m.latest().route
	ask := func(path, key string) emulator.Record {
		return m.send(c, emulator.Request{Kind: emulator.KindRead, Host: meshHost, Path: path, Timeout: routeTimeout, Fresh: true, Key: key})
	}
	added := ask(readPath, versionKey(latest))
	removed := emulator.Record{}
	if seen > keptVersions {
		removed = ask(readPath, versionKey(seen-keptVersions))
	}
	unreadable := ask(unreadablePath, firmKey)
	if after, _ := h.node.incarnation(); after != incarnation {
		return
	}
	if isKept := m.latest().route < latest+keptVersions; added.Status == statusNoKey && latest <= seen && isKept {
		m.ledger.Broken("keys: %s refused the key of version step %d after it had served that step", h.name, latest)
	}
	if removed.Outcome == emulator.OutcomeWhole {
		m.ledger.Broken("keys: %s served the key of version step %d after it had served step %d", h.name, seen-keptVersions, seen)
	}
	if unreadable.Outcome == emulator.OutcomeWhole {
		m.ledger.Broken("config: %s served a route of a version that cannot be read", h.name)
	}
}

// isProbe tells whether a request asked for what need not be in force. A node that knows of a
// greater version refuses an unknown key without a verdict on it.
func isProbe(r emulator.Record) bool {
	isVersionKey := strings.HasPrefix(r.Key, versionKeyPrefix)
	return r.Status == statusNoRoute || isVersionKey && (r.Status == statusNoKey || r.Outcome == emulator.OutcomeRefused)
}

// assertKeys waits until every one of the hosts serves the key of the latest version, and
// not the one that this version has taken away.
func (m *mesh) assertKeys(t *testing.T, hosts []*host, callers []*emulator.Caller, when string) {
	t.Helper()
	end := time.Now().Add(within(configApply))
	latest := m.latest().route
	for i, h := range hosts {
		ask := func(n int) emulator.Record {
			return m.send(callers[i], emulator.Request{Kind: emulator.KindRead, Host: meshHost, Path: readPath, Timeout: routeTimeout, Key: versionKey(n)})
		}
		for ask(latest).Outcome != emulator.OutcomeWhole {
			assert.Assert(t, time.Now().Before(end), "%s: %s does not serve the key of version step %d", when, h.name, latest)
			time.Sleep(pollEvery)
		}
		// A node that has been cut off may have the version before it reaches the store again.
		for r := ask(latest - keptVersions); r.Status != statusNoKey; r = ask(latest - keptVersions) {
			assert.Equal(t, r.Outcome, emulator.OutcomeRefused, "%s: %s answers the key of version step %d with %d", when, h.name, latest-keptVersions, r.Status)
			assert.Assert(t, time.Now().Before(end), "%s: %s has no verdict on the key of version step %d", when, h.name, latest-keptVersions)
			time.Sleep(pollEvery)
		}
	}
}
