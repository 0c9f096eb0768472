package follower

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/wirepb"
)

var testNow = time.Unix(1_800_000_000, 0)

// frames returns the frames that effects send, by address.
func frames(effects []blackboard.Effect) map[string]*wirepb.FollowFrame {
	out := map[string]*wirepb.FollowFrame{}
	for _, e := range effects {
		if send, ok := e.(SendFrame); ok {
			out[send.Address] = send.Frame
		}
	}
	return out
}

func reportFrom(host string) FrameReceived {
	return FrameReceived{Now: testNow, Frame: &wirepb.FollowFrame{
		Host: host, Address: host, Body: &wirepb.FollowFrame_Report{Report: &wirepb.Report{}},
	}}
}

func heartbeatFrom(host string, path ...string) FrameReceived {
	heartbeat := &wirepb.Heartbeat{}
	for _, ancestor := range path {
		heartbeat.Path = append(heartbeat.Path, ranker.Hash(ancestor))
	}
	return FrameReceived{Now: testNow, Frame: &wirepb.FollowFrame{
		Host: host, Address: host, Body: &wirepb.FollowFrame_Heartbeat{Heartbeat: heartbeat},
	}}
}

func TestTree(t *testing.T) {
	f := newFollower(Platform{})
	t.Run("a node that finds itself among its ancestors leaves its parent", func(t *testing.T) {
		s := stateWithLayout("xx.xx")
		s.Config.Parent = "host-1"
		s, effects := f.reduce(s, heartbeatFrom("host-1", "host-1", "host-2", "host-0"))
		assert.Equal(t, s.Config.Parent, "")
		assert.Assert(t, frames(effects)["host-1"].GetLeave() != nil)
	})
	t.Run("an ancestor is not accepted as a child", func(t *testing.T) {
		s := stateWithLayout("xx.xx")
		s.Config.Parent = "host-1"
		s, _ = f.reduce(s, heartbeatFrom("host-1", "host-1", "host-2"))
		s, effects := f.reduce(s, reportFrom("host-2"))
		assert.Equal(t, len(s.Config.Tree.Children), 0)
		assert.Assert(t, frames(effects)["host-2"].GetRefusal() != nil)
	})
	t.Run("a full parent names its children as other parents", func(t *testing.T) {
		s := stateWithLayout("xx.xx")
		for i := range f.maxChildren() {
			s, _ = f.reduce(s, reportFrom(fmt.Sprintf("child-%d", i)))
		}
		s, effects := f.reduce(s, reportFrom("one-too-many"))
		assert.Equal(t, len(s.Config.Tree.Children), f.maxChildren())
		assert.Equal(t, len(frames(effects)["one-too-many"].GetRefusal().GetHints()), maxHints)
	})
	t.Run("a refused node joins a parent that the refusal named", func(t *testing.T) {
		s := stateWithLayout("xx.xx")
		s.Config.Parent = "host-1"
		s, _ = f.reduce(s, FrameReceived{Now: testNow, Frame: &wirepb.FollowFrame{Address: "host-1", Body: &wirepb.FollowFrame_Refusal{
			Refusal: &wirepb.FollowRefusal{Hints: []string{"host-9"}},
		}}})
		s, _ = f.reduce(s, blackboard.Tick{Now: testNow.Add(maxRejoinBackoff)})
		assert.Equal(t, s.Config.Parent, "host-9")
	})
	t.Run("a parent comes before its child in the order, even if a member is unknown", func(t *testing.T) {
		all := stateWithLayout("xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx")
		for absentHost := range all.Members.ByHost {
			s := stateWithLayout("xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx")
			if absentHost != s.Self.Host {
				delete(s.Members.ByHost, absentHost)
			}
			st := &step{f: f, s: s, now: testNow}
			parent := st.chooseParent()
			order := ranker.Rank(all.Members.ByHost)
			assert.Assert(t, parent == "" || ranker.Index(order, parent) < ranker.Index(order, s.Self.Host))
		}
	})
}
