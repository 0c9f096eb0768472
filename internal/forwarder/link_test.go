package forwarder

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/pkg/snapshotter"
)

// TestLargeAnswersHaveAConnectionOfTheirOwn guards against short answers that wait behind the
// body of a long one on the same connection.
func TestLargeAnswersHaveAConnectionOfTheirOwn(t *testing.T) {
	var used []linker.Traffic
	f := New(Config{Open: func(_ context.Context, address string, traffic linker.Traffic, _ string, _ proto.Message, _ int) (*linker.Stream, error) {
		used = append(used, traffic)
		return nil, &linker.UnreachableError{Address: address}
	}})
	for _, large := range []bool{false, true} {
		r := &exchanger.Request{ID: "1", Class: snapshotter.ClassShort, LargeAnswer: large, Deadline: time.Now().Add(time.Minute)}
		f.Forward(t.Context(), "peer", r)
	}
	assert.DeepEqual(t, used, []linker.Traffic{linker.TrafficShort, linker.TrafficBulk})
}
