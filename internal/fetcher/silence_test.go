package fetcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/piper"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/subscriber"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
)

// maxApplyTime is within which a version has to be in force after the platform has
// acknowledged it, at nodes that run and are connected.
const maxApplyTime = 2 * time.Second

// silentFleet is a mesh of nodes in three data centres that read the configuration from
// one store. Addresses are host names.
type silentFleet struct {
	t       *testing.T
	ctx     context.Context
	store   *storer.Fake
	network piper.Network
	group   sync.WaitGroup
	boards  map[string]*blackboard.Board
	mu      sync.Mutex
	// reads counts the reads by host. Guarded by mu.
	reads map[string]int
	// cutOff holds the hosts whose calls to the store get no answer. Guarded by mu.
	cutOff map[string]bool
	// version is the one last written.
	version uint64
}

var fleetDataCentres = []string{"a", "b", "c"}

func fleetHost(dataCentre string, i int) string { return fmt.Sprintf("%s-%02d", dataCentre, i) }

func startSilentFleet(ctx context.Context, t *testing.T, perDataCentre int) *silentFleet {
	f := &silentFleet{
		t: t, ctx: ctx, store: storer.NewFake(), boards: map[string]*blackboard.Board{}, reads: map[string]int{}, version: 1,
	}
	f.write()
	var records []blackboard.NodeRecord
	for _, dataCentre := range fleetDataCentres {
		for i := range perDataCentre {
			host := fleetHost(dataCentre, i)
			records = append(records, blackboard.NodeRecord{Host: host, Address: host, DataCentre: dataCentre})
		}
	}
	for _, r := range records {
		f.start(r, records)
	}
	time.Sleep(6 * time.Second)
	return f
}

func (f *silentFleet) start(self blackboard.NodeRecord, known []blackboard.NodeRecord) {
	links := linker.New()
	links.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return f.network.Dial(ctx, self.Address, address)
	}
	open := func(kind string) func(context.Context, string) (*linker.Stream, error) {
		return func(ctx context.Context, address string) (*linker.Stream, error) {
			return links.Open(ctx, address, linker.TrafficControl, kind)
		}
	}
	var board *blackboard.Board
	read := func() *blackboard.State { return board.Read() }
	nodes := subscriber.New(subscriber.Config{
		Self: self, Incarnation: 1, State: read, Open: open(subscriber.StreamKind), Log: &logger.Logger{},
		Post: func(msg blackboard.Msg) { board.Post(msg) },
	})
	links.Handle(subscriber.StreamKind, nodes.Serve)
	links.Handle(StreamKind, Handler(read))
	board = blackboard.New(
		blackboard.State{Self: blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre}},
		[]blackboard.Controller{
			New(Config{
				Platform: f.client(self.Host), Kind: "config", Decode: decodeNumber, State: read, Open: open(StreamKind), Log: &logger.Logger{},
			}),
			nodes.Controller(),
		})
	f.boards[self.Host] = board
	f.network.Listen(f.ctx, self.Address, links)
	f.group.Go(func() { _ = board.Run(f.ctx) })
	f.group.Go(func() {
		for poller.Sleep(f.ctx, blackboard.TickInterval) {
			board.Post(blackboard.Tick{Now: time.Now()})
		}
	})
	f.group.Go(func() {
		<-f.ctx.Done()
		links.Close()
	})
	board.Post(blackboard.NodesFound{Nodes: known, Now: time.Now()})
}

func decodeNumber(value []byte) (*snapshotter.Snapshot, error) {
	version, err := strconv.ParseUint(string(value), 10, 64)
	return snapshot(version), err
}

// client returns a client of the store that counts the reads of a host.
func (f *silentFleet) client(host string) storer.Client {
	c := f.store.Client()
	scan, follow := c.Scan, c.Follow
	c.Scan = func(ctx context.Context, kind string) (storer.Changes, error) {
		if err := f.noteRead(ctx, host); err != nil {
			return storer.Changes{}, err
		}
		return scan(ctx, kind)
	}
	c.Follow = func(ctx context.Context, kind string, after uint64, wait time.Duration) (storer.Changes, error) {
		if err := f.noteRead(ctx, host); err != nil {
			return storer.Changes{}, err
		}
		return follow(ctx, kind, after, wait)
	}
	return c
}

// callTimeout is how long a call without an answer takes.
const callTimeout = 2 * time.Second

// noteRead counts a read. It fails late for a host that is cut off from the store.
func (f *silentFleet) noteRead(ctx context.Context, host string) error {
	f.mu.Lock()
	f.reads[host]++
	isCutOff := f.cutOff[host]
	f.mu.Unlock()
	if !isCutOff {
		return nil
	}
	poller.Sleep(ctx, callTimeout)
	return &storer.UnavailableError{Key: host, Cause: &storer.OutageError{}}
}

func (f *silentFleet) setCutOff(hosts ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = map[string]bool{}
	for _, h := range hosts {
		f.cutOff[h] = true
	}
}

// takeReads returns the reads by host since the last call, and their sum.
func (f *silentFleet) takeReads() (byHost map[string]int, sum int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byHost, f.reads = f.reads, map[string]int{}
	for _, n := range byHost {
		sum += n
	}
	return byHost, sum
}

// write writes the next version.
func (f *silentFleet) write() {
	f.version++
	c := f.store.Client()
	old, err := c.Get(f.ctx, "config/main")
	if err != nil {
		old = storer.Object{}
	}
	_, err = c.Put(f.ctx, "config/main", []byte(strconv.FormatUint(f.version, 10)), old.Revision)
	assert.NilError(f.t, err)
}

// stale returns the hosts, without the given ones, that do not run the last version.
func (f *silentFleet) stale(without map[string]bool) []string {
	var hosts []string
	for host, b := range f.boards {
		if !without[host] && versionOf(b.Read().Config.Running) != f.version {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// play lets hosts fall silent, writes a version at once, and checks that all others run it
// in time. cutOff are hosts that get no answer of the store, but are heard by the others.
func (f *silentFleet) play(what string, silent, cutOff []string) {
	f.setCutOff(cutOff...)
	f.network.SetSilent(silent...)
	without := map[string]bool{}
	for _, h := range silent {
		without[h] = true
	}
	f.takeReads()
	f.write()
	time.Sleep(maxApplyTime)
	synctest.Wait()
	_, reads := f.takeReads()
	f.t.Logf("%s: %d of %d nodes silent, %d without the store, %d reads in %v", what, len(silent), len(f.boards), len(cutOff), reads, maxApplyTime)
	stale := f.stale(without)
	assert.Check(f.t, len(stale) == 0, "%s: %d nodes run an old version %v after the change, such as %v", what, len(stale), maxApplyTime, stale)
	f.network.SetSilent()
	f.setCutOff()
	time.Sleep(10 * time.Second)
}

// firstOfEach returns hosts of each data centre by their positions.
func firstOfEach(positions ...int) []string {
	var hosts []string
	for _, dataCentre := range fleetDataCentres {
		for _, i := range positions {
			hosts = append(hosts, fleetHost(dataCentre, i))
		}
	}
	return hosts
}

func positions(from, to int) []int {
	var list []int
	for i := from; i < to; i++ {
		list = append(list, i)
	}
	return list
}

// playCalm checks that only the nodes that watch read the store while nothing happens.
func (f *silentFleet) playCalm(perDataCentre int) {
	const calm = time.Minute
	f.takeReads()
	before := f.network.SentBytes()
	time.Sleep(calm)
	byHost, sum := f.takeReads()
	rate := float64(f.network.SentBytes()-before) / calm.Seconds() / float64(len(f.boards))
	f.t.Logf("calm, %d nodes a data centre: %d reads in %v, %.0f bytes sent a second and node", perDataCentre, sum, calm, rate)
	for _, h := range firstOfEach(positions(1, perDataCentre)...) {
		assert.Check(f.t, byHost[h] == 0, "%s, which does not watch, read the store %d times", h, byHost[h])
	}
}

// playAlone plays a data centre that has reached no other for long, and whose first two
// nodes, which both watch, fall silent.
func (f *silentFleet) playAlone(perDataCentre int) {
	var others []string
	for _, h := range firstOfEach(positions(0, perDataCentre)...) {
		if !strings.HasPrefix(h, fleetDataCentres[0]) {
			others = append(others, h)
		}
	}
	silent := append(slices.Clone(others), fleetHost(fleetDataCentres[0], 0), fleetHost(fleetDataCentres[0], 1))
	for k := range 4 {
		f.network.SetSilent(others...)
		time.Sleep(10*time.Second + time.Duration(k)*time.Second/4)
		f.play("a data centre alone, without its first two", silent, nil)
	}
}

// playOutage checks that the reads during an absence of the store stay within what a data
// centre may use of it, a nineteenth of 2,000 a second.
func (f *silentFleet) playOutage() {
	const outage, maxReadsPerSecond = time.Minute, 3 * 2000 / 19
	f.store.SetFaults(storer.Faults{Outage: true})
	f.takeReads()
	time.Sleep(outage)
	_, sum := f.takeReads()
	f.t.Logf("outage, %d nodes: %d reads in %v", len(f.boards), sum, outage)
	assert.Check(f.t, sum <= int(outage.Seconds())*maxReadsPerSecond)
	f.store.SetFaults(storer.Faults{})
	time.Sleep(maxApplyTime)
	f.play("after an outage", nil, nil)
}

// TestReading guards against a node that relies on the reading of another one although it
// does not run what that one has read.
func TestReading(t *testing.T) {
	reading := blackboard.ConfigReadingDone{Host: "a-1", Revision: 40, Era: 1, Version: 7, Now: start}
	read := func(running uint64) blackboard.ConfigReading {
		s, _ := Reduce(stateWith(running), reading)
		return s.Config.Reading
	}
	want := blackboard.ConfigReading{Revision: 40, Era: 1, ExpiresAt: start.Add(readingLifetime)}
	assert.Equal(t, read(3), blackboard.ConfigReading{}, "this node lacks the version")
	assert.Equal(t, read(7), want)
	assert.Equal(t, read(9), want, "this node runs a later version")
	s, _ := Reduce(stateWith(3), blackboard.ConfigRead{Snapshot: snapshot(7), Now: start})
	assert.Equal(t, s.Config.Reading.ExpiresAt, want.ExpiresAt, "a version counts as a reading")
	assert.Equal(t, s.Config.Reading.Revision, uint64(0))
}

// TestTakeoverFitsIntoApplyTime guards against times that leave no room to pass a version
// on, after the first 84 nodes of a data centre have fallen silent.
func TestTakeoverFitsIntoApplyTime(t *testing.T) {
	assert.Assert(t, readingLifetime+poller.TakeoverDelay(84)+askNextDelay < maxApplyTime)
}

// TestVersionWithSilentNodes guards against nodes that learn of a version only once the
// nodes that should tell them count as lost, which takes longer than a version may. All
// meshes are in one test because yamux reuses timers, which must not be used outside the
// synctest bubble that created them.
//
// The test runs on one processor: Go 1.26 shares one context of the race detector between
// the timers of a bubble, and the detector crashes when two threads use it at once.
func TestVersionWithSilentNodes(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		for _, perDataCentre := range []int{3, 8} {
			ctx, cancel := context.WithCancel(t.Context())
			f := startSilentFleet(ctx, t, perDataCentre)
			f.playCalm(perDataCentre)
			f.play("nobody", nil, nil)
			for k := range 4 {
				time.Sleep(time.Duration(k) * time.Second / 4)
				f.play("the first of each data centre", firstOfEach(0), nil)
			}
			f.play("all but the last of each data centre", firstOfEach(positions(0, perDataCentre-1)...), nil)
			f.play("the first, and the second without the store", firstOfEach(0), firstOfEach(1))
			f.play("nobody, the first two without the store", nil, firstOfEach(0, 1))
			r := rand.New(rand.NewPCG(41, uint64(perDataCentre)))
			for range 6 {
				f.play("some", firstOfEach(r.Perm(perDataCentre)[:1+r.IntN(perDataCentre-1)]...), nil)
			}
			f.playAlone(perDataCentre)
			f.playOutage()
			cancel()
			f.group.Wait()
			f.network.Wait()
		}
	})
}
