package loader

import (
	"net/netip"
	"net/url"
	"regexp"

	"gentianbarrow.example/internal/decoder"
)

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// check reports malformed and contradictory values. The decoder has reported missing
// ones already.
func check(d *decoder.Decoder, s *Settings) {
	checkName(d, "host", s.Host)
	checkName(d, "data-centre", s.DataCentre)
	checkName(d, "region", s.Region)
	checkName(d, "rack", s.Rack)
	checkListen(d, s.Listen)
	checkPlatform(d, s.Platform)
	checkPlatformObjects(d, s)
	for _, peer := range s.SeedPeers {
		checkAddress(d, "seed-peers", peer)
	}
}

func checkName(d *decoder.Decoder, key, name string) {
	if !kebabCase.MatchString(name) {
		d.Reportf(key, "%q is not in kebab case", name)
	}
}

func checkAddress(d *decoder.Decoder, key, address string) {
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		d.Reportf(key, "%q is not an address of the form ip:port", address)
	}
}

func checkListen(d *decoder.Decoder, l Listen) {
	keysByAddress := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"listen.callers", l.Callers},
		{"listen.nodes", l.Nodes},
		{"listen.targets", l.Targets},
		{"listen.admin", l.Admin},
	} {
		checkAddress(d, entry.key, entry.address)
		if firstKey, duplicate := keysByAddress[entry.address]; duplicate {
			d.Reportf(entry.key, "has the same address as %s", firstKey)
		}
		keysByAddress[entry.address] = entry.key
	}
	if l.Advertised != "" {
		checkAddress(d, "listen.advertised", l.Advertised)
	}
}

// checkPlatformObjects checks the settings that only the platform API objects requires.
func checkPlatformObjects(d *decoder.Decoder, s *Settings) {
	if s.PlatformAPI != PlatformObjects {
		return
	}
	checkAddress(d, "listen.readiness", s.Listen.Readiness)
	checkAddress(d, "target.address", s.Target.Address)
	checkName(d, "target.service", s.Target.Service)
	if len(s.PlatformBounds) == 0 {
		d.Reportf("platform-bounds", "is missing")
	}
}

func checkPlatform(d *decoder.Decoder, platform string) {
	u, err := url.Parse(platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		d.Reportf("platform", "%q is not an http or https URL", platform)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		d.Reportf("platform", "%q does not have a host of the form ip:port", platform)
	}
}
