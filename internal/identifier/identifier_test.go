package identifier

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

func newSnapshot() *snapshotter.Snapshot {
	s := snapshotter.Empty()
	s.Firms["rocklea"] = snapshotter.Firm{Name: "rocklea", Keys: []snapshotter.Digest{snapshotter.DigestKey("k-rocklea")}}
	s.Firms["yatala"] = snapshotter.Firm{Name: "yatala", Keys: []snapshotter.Digest{snapshotter.DigestKey("k-yatala")}}
	return s
}

func assertIdentified(t *testing.T, route snapshotter.Route, values []string, firm string, verdict Verdict) {
	t.Helper()
	got, v := Identify(newSnapshot(), route, "Bearer", values)
	assert.Equal(t, v, verdict)
	assert.Equal(t, got.Name, firm)
}

func TestIdentify(t *testing.T) {
	route := snapshotter.Route{Name: "lookups"}
	for name, c := range map[string]struct {
		values []string
		firm   string
	}{
		"a key":                        {[]string{"Bearer k-yatala"}, "yatala"},
		"the scheme in another case":   {[]string{"bEARER k-yatala"}, "yatala"},
		"more than one space":          {[]string{"Bearer   k-yatala "}, "yatala"},
		"a key that no firm holds":     {[]string{"Bearer k-nobody"}, ""},
		"a key in another case":        {[]string{"Bearer K-YATALA"}, ""},
		"the start of a key":           {[]string{"Bearer k-yatal"}, ""},
		"no header":                    {nil, ""},
		"an empty header":              {[]string{""}, ""},
		"no key":                       {[]string{"Bearer "}, ""},
		"no scheme":                    {[]string{"k-yatala"}, ""},
		"another scheme":               {[]string{"Basic k-yatala"}, ""},
		"two headers":                  {[]string{"Bearer k-yatala", "Bearer k-rocklea"}, ""},
		"two headers of the same key":  {[]string{"Bearer k-yatala", "Bearer k-yatala"}, ""},
		"two keys in one header":       {[]string{"Bearer k-yatala k-rocklea"}, ""},
		"two keys separated by commas": {[]string{"Bearer k-yatala,Bearer k-rocklea"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			verdict := VerdictUnknown
			if c.firm != "" {
				verdict = VerdictFirm
			}
			assertIdentified(t, route, c.values, c.firm, verdict)
		})
	}
	t.Run("a route that needs no key", func(t *testing.T) {
		keyless := snapshotter.Route{Name: "checks", Keyless: true}
		assertIdentified(t, keyless, nil, "", VerdictAnyone)
		assertIdentified(t, keyless, []string{"Bearer k-nobody"}, "", VerdictAnyone)
		assertIdentified(t, keyless, []string{"Bearer k-yatala"}, "yatala", VerdictFirm)
	})
	t.Run("a configuration without firms", func(t *testing.T) {
		_, v := Identify(snapshotter.Empty(), route, "Bearer", []string{"Bearer k-nobody"})
		assert.Equal(t, v, VerdictAnyone)
	})
}

func BenchmarkIdentify(b *testing.B) {
	s, route := newSnapshot(), snapshotter.Route{Name: "lookups"}
	for name, values := range map[string][]string{"known": {"Bearer k-yatala"}, "unknown": {"Bearer k-nobody"}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Identify(s, route, "Bearer", values)
			}
		})
	}
}

func FuzzIdentify(f *testing.F) {
	f.Add("Bearer k-yatala")
	f.Add("bearer\tk-yatala")
	f.Add(" Bearer  k-rocklea ")
	f.Fuzz(func(t *testing.T, value string) {
		firm, verdict := Identify(newSnapshot(), snapshotter.Route{}, "Bearer", []string{value})
		assert.Equal(t, firm.Name != "", verdict == VerdictFirm)
		if verdict == VerdictFirm {
			assert.Assert(t, strings.HasSuffix(strings.TrimSpace(value), " k-"+firm.Name), "%q", value)
		}
	})
}
