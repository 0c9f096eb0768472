package loader

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const watched = `host: reyk-a-1
data-centre: reyk-a
region: is-south
rack: reyk-a-r1
listen:
  callers: 127.0.0.1:18001
  nodes: 127.0.0.1:18002
  targets: 127.0.0.1:18003
  admin: 127.0.0.1:18004
platform: http://127.0.0.1:18000
`

func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "node.yaml")
		write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
		write(watched)
		settings, err := Load(path)
		assert.NilError(t, err)
		signals := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var got []Reload
		var group sync.WaitGroup
		group.Go(func() { Watch(ctx, path, settings, signals, func(c Reload) { got = append(got, c) }) })
		expect := func(n int) Reload {
			time.Sleep(3 * watchEvery)
			synctest.Wait()
			assert.Equal(t, len(got), n)
			return got[n-1]
		}
		write(strings.Replace(watched, "18000", "18009", 1))
		assert.DeepEqual(t, expect(1).Keys, []string{"platform"})
		signals <- syscall.SIGHUP
		assert.Assert(t, expect(2).Signalled && len(got[1].Keys) == 0)
		write("host: [")
		assert.Assert(t, expect(3).Err != nil, "a refusal is told once")
		write(watched)
		assert.DeepEqual(t, expect(4).Keys, []string{"platform"})
		cancel()
		group.Wait()
	})
}
