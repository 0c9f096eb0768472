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

var treeNow = time.Unix(1_800_000_000, 0)

// frames returns the frames that effects send, by address.
func frames(effects []blackboard.Effect) map[string]*wirepb.FollowFrame {
	out := map[string]*wirepb.FollowFrame{}
	for _, e := range effects {
		if send, ok := e.(Send); ok {
			out[send.Address] = send.Frame
		}
	}
	return out
}

func reportFrom(host string) Received {
	return Received{Now: treeNow, Frame: &wirepb.FollowFrame{
		Host: host, Address: host, Body: &wirepb.FollowFrame_Report{Report: &wirepb.Report{}},
	}}
}

func heartbeatFrom(host string, path ...string) Received {
	beat := &wirepb.Heartbeat{}
	for _, ancestor := range path {
		beat.Path = append(beat.Path, ranker.Hash(ancestor))
	}
	return Received{Now: treeNow, Frame: &wirepb.FollowFrame{
		Host: host, Address: host, Body: &wirepb.FollowFrame_Heartbeat{Heartbeat: beat},
	}}
}

func TestTree(t *testing.T) {
	f := newFollower(Platform{})
	t.Run("a node that finds itself among its ancestors leaves its parent", func(t *testing.T) {
		s := dataCentre("xx.xx")
		s.Config.Parent = "host-1"
		s, effects := f.reduce(s, heartbeatFrom("host-1", "host-1", "host-2", "host-0"))
		assert.Equal(t, s.Config.Parent, "")
		assert.Assert(t, frames(effects)["host-1"].GetLeave() != nil)
	})
	t.Run("an ancestor is not taken in as a child", func(t *testing.T) {
		s := dataCentre("xx.xx")
		s.Config.Parent = "host-1"
		s, _ = f.reduce(s, heartbeatFrom("host-1", "host-1", "host-2"))
		s, effects := f.reduce(s, reportFrom("host-2"))
		assert.Equal(t, len(s.Config.Tree.Children), 0)
		assert.Assert(t, frames(effects)["host-2"].GetRefusal() != nil)
	})
	t.Run("a full parent names children that may have room", func(t *testing.T) {
		s := dataCentre("xx.xx")
		for i := range f.childLimit() {
			s, _ = f.reduce(s, reportFrom(fmt.Sprintf("child-%d", i)))
		}
		s, effects := f.reduce(s, reportFrom("one-too-many"))
		assert.Equal(t, len(s.Config.Tree.Children), f.childLimit())
		assert.Equal(t, len(frames(effects)["one-too-many"].GetRefusal().GetHints()), hintsPerAnswer)
	})
	t.Run("a refused node follows a hint", func(t *testing.T) {
		s := dataCentre("xx.xx")
		s.Config.Parent = "host-1"
		s, _ = f.reduce(s, Received{Now: treeNow, Frame: &wirepb.FollowFrame{Address: "host-1", Body: &wirepb.FollowFrame_Refusal{
			Refusal: &wirepb.FollowRefusal{Hints: []string{"host-9"}},
		}}})
		s, _ = f.reduce(s, blackboard.Tick{Now: treeNow.Add(rejoinMost)})
		assert.Equal(t, s.Config.Parent, "host-9")
	})
	t.Run("a parent stands before its child, whatever members a node knows", func(t *testing.T) {
		all := dataCentre("xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx")
		for left := range all.Members.ByHost {
			s := dataCentre("xxxxxxxxxxxxxxx.xxxxxxxxxxxxxxx")
			if left != s.Self.Host {
				delete(s.Members.ByHost, left)
			}
			st := &step{f: f, s: s, now: treeNow}
			parent := st.chooseParent()
			order := ranker.Rank(all.Members.ByHost)
			assert.Assert(t, parent == "" || ranker.Index(order, parent) < ranker.Index(order, s.Self.Host))
		}
	})
}
