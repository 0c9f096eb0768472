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

const validSettings = `host: reyk-a-1
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
		write(validSettings)
		settings, err := Load(path)
		assert.NilError(t, err)
		signals := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		var reloads []Reload
		var group sync.WaitGroup
		group.Go(func() { Watch(ctx, path, settings, signals, func(c Reload) { reloads = append(reloads, c) }) })
		expect := func(n int) Reload {
			time.Sleep(3 * reloadInterval)
			synctest.Wait()
			assert.Equal(t, len(reloads), n)
			return reloads[n-1]
		}
		write(strings.Replace(validSettings, "18000", "18009", 1))
		assert.DeepEqual(t, expect(1).Keys, []string{"platform"})
		signals <- syscall.SIGHUP
		assert.Assert(t, expect(2).Signalled && len(reloads[1].Keys) == 0)
		write("host: [")
		assert.Assert(t, expect(3).Err != nil, "an error is reported once")
		write(validSettings)
		assert.DeepEqual(t, expect(4).Keys, []string{"platform"})
		cancel()
		group.Wait()
	})
}
