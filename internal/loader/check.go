package loader

import (
	"net/netip"
	"net/url"
	"regexp"
)

var kebabCase = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// check finds missing and contradictory values.
func (d *decoder) check(s *Settings) {
	d.checkName("host", s.Host)
	d.checkName("data-centre", s.DataCentre)
	d.checkName("region", s.Region)
	d.checkName("rack", s.Rack)
	d.checkListen(s.Listen)
	d.checkPlatform(s.Platform)
	for _, peer := range s.SeedPeers {
		d.checkAddress("seed-peers", peer)
	}
}

func (d *decoder) checkName(key, name string) {
	switch {
	case name == "":
		d.fail(key, d.lines[key], "is missing")
	case !kebabCase.MatchString(name):
		d.fail(key, d.lines[key], "%q is not in kebab case", name)
	}
}

func (d *decoder) checkAddress(key, address string) {
	if address == "" {
		d.fail(key, d.lines[key], "is missing")
		return
	}
	if parsed, err := netip.ParseAddrPort(address); err != nil || parsed.Port() == 0 {
		d.fail(key, d.lines[key], "%q is not an address as ip:port", address)
	}
}

func (d *decoder) checkListen(l Listen) {
	taken := map[string]string{}
	for _, entry := range []struct{ key, address string }{
		{"listen.callers", l.Callers},
		{"listen.nodes", l.Nodes},
		{"listen.targets", l.Targets},
		{"listen.admin", l.Admin},
	} {
		d.checkAddress(entry.key, entry.address)
		if other, twice := taken[entry.address]; twice && entry.address != "" {
			d.fail(entry.key, d.lines[entry.key], "has the same address as %s", other)
		}
		taken[entry.address] = entry.key
	}
}

func (d *decoder) checkPlatform(platform string) {
	if platform == "" {
		d.fail("platform", d.lines["platform"], "is missing")
		return
	}
	u, err := url.Parse(platform)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		d.fail("platform", d.lines["platform"], "%q is not an http or https URL", platform)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		d.fail("platform", d.lines["platform"], "%q does not name its host as ip:port", platform)
	}
}
