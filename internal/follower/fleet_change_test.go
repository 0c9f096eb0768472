package follower

import (
	"errors"
	"fmt"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

// kill ends the process of a host without a graceful stop.
func (fl *fleet) kill(host string) {
	fl.mu.Lock()
	n := fl.nodes[host]
	n.up = false
	fl.mu.Unlock()
	if n.stop != nil {
		n.stop()
	}
	fl.gossip()
}

// publish stores the next version as accepted in the platform.
func (fl *fleet) publish() uint64 {
	fl.t.Helper()
	version := fl.head.Version + 1
	name := fmt.Sprintf("service-%d", version%7)
	next, err := snapshotter.Apply(fl.head, snapshotter.Change{Services: []snapshotter.Service{{
		Name: name, Firm: "frothvik", Slots: 20, Connections: 110, Queue: int(version % 100), BulkPercent: 50,
	}}}, version)
	assert.NilError(fl.t, err)
	fl.store(next)
	return version
}

func (fl *fleet) store(next *snapshotter.Snapshot) {
	fl.t.Helper()
	client := fl.fake.Client()
	shards := snapshotter.EncodeShards(next)
	digests := snapshotter.ShardDigests(next)
	for i, d := range snapshotter.ShardDigests(fl.head) {
		if d != digests[i] || fl.head.Version == 0 {
			_, _ = client.Put(fl.ctx, ticketer.ShardKey(digests[i]), shards[i], 0)
		}
	}
	head := ticketer.Head{Version: next.Version, Digest: next.Digest(), RemovedFloor: next.RemovedFloor, Shards: digests[:]}
	fl.mu.Lock()
	fl.head = next
	fl.accepted[next.Version] = next.Digest()
	fl.published[next.Version] = time.Now()
	fl.mu.Unlock()
	obj, err := client.Put(fl.ctx, ticketer.HeadKey, head.Encode(), fl.revision)
	var lost *storer.UnknownOutcomeError
	if errors.As(err, &lost) {
		obj, err = client.Get(fl.ctx, ticketer.HeadKey)
	}
	assert.NilError(fl.t, err)
	fl.revision = obj.Revision
}

func (fl *fleet) running(host string) uint64 {
	return versionOf(fl.nodes[host].board.Load().Read().Config.Running)
}

// assertRunning checks that every node that is up runs the given version.
func (fl *fleet) assertRunning(version uint64) {
	fl.t.Helper()
	synctest.Wait()
	for host, n := range fl.nodes {
		if n.up {
			assert.Equal(fl.t, fl.running(host), version, "%s: %+v", host, n.board.Load().Read().Config.Stage)
		}
	}
}

func (fl *fleet) assertNoViolations() {
	fl.t.Helper()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	assert.DeepEqual(fl.t, fl.violations, []string(nil))
}

// maxApplyDelay is the maximum time from the acceptance of a version until every
// node runs it.
const maxApplyDelay = 17 * time.Second

// frameOverheadBytes is the size of the headers of a frame below protobuf:
// length, yamux, TCP and IP.
const frameOverheadBytes = 3 + 12 + 20 + 20
