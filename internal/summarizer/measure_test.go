package summarizer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// The maximum size that the system is designed for.
const (
	fullDataCentres = 19
	fullHosts       = 1000
	fullServices    = 3600
	// changesPerDay is the changes of 3,600 restarts: each removes a target and adds one.
	changesPerDay = 2 * 3600
	secondsPerDay = 86400
)

// fullMembers returns the table of one data centre at full size.
func fullMembers(dc int) map[string]blackboard.Member {
	members := map[string]blackboard.Member{}
	for i := range fullHosts {
		name := fmt.Sprintf("dc-%02d-%04d", dc, i)
		members[name] = blackboard.Member{
			Host: name, Address: fmt.Sprintf("10.%d.%d.%d:7000", dc, i/250, i%250+1), Status: blackboard.MemberAlive,
			Target: blackboard.TargetRecord{
				Service: fmt.Sprintf("service-%04d", (dc*fullHosts+i)*7%fullServices), Phase: blackboard.TargetReady, Slots: 10,
			},
		}
	}
	return members
}

// BenchmarkSummary prints the sizes of docs/measurements/membership.md.
func BenchmarkSummary(b *testing.B) {
	now := time.Unix(1e9, 0)
	members := fullMembers(0)
	services, _ := updateServices(nil, CountTargets(members), 1)
	summary := blackboard.DataCentreSummary{
		DataCentre: "dc-00", Region: "region-0", Epoch: uint64(now.UnixMicro()), Sequence: 1, Received: now,
		Services: services, Digest: Digest(services),
	}
	wholeBytes := proto.Size(newDelta(&summary, Mark{}, now))
	heartbeat := summary
	heartbeat.Sequence++
	heartbeatBytes := proto.Size(newDelta(&heartbeat, Mark{summary.Epoch, 1}, now))
	drained := members["dc-00-0000"]
	drained.Target.Phase = blackboard.TargetDraining
	members[drained.Host] = drained
	changed := summary
	changed.Sequence++
	changed.Services, _ = updateServices(services, CountTargets(members), 2)
	changed.Digest = Digest(changed.Services)
	changeBytes := proto.Size(newDelta(&changed, Mark{summary.Epoch, 1}, now))
	bytesPerSecond := (fullDataCentres-1)*float64(heartbeatBytes)/heartbeatPeriod.Seconds() + float64(changeBytes)*changesPerDay/secondsPerDay

	fmt.Printf("| one whole summary, %d services | %d bytes |\n", len(services), wholeBytes)
	fmt.Printf("| all %d others, once at a start | %d bytes |\n", fullDataCentres-1, (fullDataCentres-1)*wholeBytes)
	fmt.Printf("| one heartbeat | %d bytes |\n", heartbeatBytes)
	fmt.Printf("| one changed target | %d bytes |\n", changeBytes)
	fmt.Printf("| steady, for each node followed | %.0f bytes/s |\n", bytesPerSecond)
	fmt.Printf("| naive: all whole summaries each second | %d bytes/s |\n", (fullDataCentres-1)*wholeBytes)
	fmt.Printf("| memory of all %d others | %d bytes |\n", fullDataCentres-1, remoteMemory(b, now))
	b.Run("publish", func(b *testing.B) {
		for b.Loop() {
			updateServices(services, CountTargets(members), 3)
		}
	})
	b.Run("apply-change", func(b *testing.B) {
		d := newDelta(&changed, Mark{summary.Epoch, 1}, now)
		for b.Loop() {
			Apply(summary, d)
		}
	})
}

// remoteMemory returns the heap size, in bytes, of the summaries of all other data centres.
func remoteMemory(b *testing.B, now time.Time) uint64 {
	b.Helper()
	before := heapBytes()
	s := blackboard.State{Self: blackboard.Self{Host: "h", DataCentre: "dc-00"}}
	for dc := 1; dc < fullDataCentres; dc++ {
		services, _ := updateServices(nil, CountTargets(fullMembers(dc)), 1)
		source := blackboard.DataCentreSummary{
			DataCentre: fmt.Sprintf("dc-%02d", dc), Epoch: 1, Sequence: 1, Services: services, Digest: Digest(services),
		}
		data, err := proto.Marshal(newDelta(&source, Mark{}, now))
		assert.NilError(b, err)
		received := newDelta(&source, Mark{}, now)
		assert.NilError(b, proto.Unmarshal(data, received))
		s, _ = Reduce(s, blackboard.SummaryReceived{Delta: received, Now: now})
	}
	used := heapBytes() - before
	assert.Equal(b, len(s.Members.Remote), fullDataCentres-1)
	return used
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
