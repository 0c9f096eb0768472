package subscriber

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// FuzzNodeUpdate applies what another node may send on a stream. Whatever it is, this
// node does not become a member of itself, and a view adds nodes of its own data
// centre only.
func FuzzNodeUpdate(f *testing.F) {
	seed := func(m *wirepb.NodeUpdate) {
		text, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(text)
	}
	view := encodeView(remoteDataCentre, nil, map[string]blackboard.PeerState{"hafn-c-1": readyState(remoteNode(1), 1, 1)}, true)
	seed(&wirepb.NodeUpdate{Host: "observer-1", Views: []*wirepb.DataCentreView{view}})
	seed(&wirepb.NodeUpdate{Views: []*wirepb.DataCentreView{{DataCentre: remoteDataCentre, Gone: []string{"", "hafn-c-1"}}}})
	seed(&wirepb.NodeUpdate{Views: []*wirepb.DataCentreView{{DataCentre: remoteDataCentre, Ended: true}, {}}})
	own := proto.CloneOf(view)
	own.Nodes[0].Host, own.Nodes[0].Record.Host = "reyk-a-1", "reyk-a-1"
	seed(&wirepb.NodeUpdate{Views: []*wirepb.DataCentreView{own}, Known: []*wirepb.NodeRecord{own.Nodes[0].Record}})
	f.Fuzz(func(t *testing.T, text []byte) {
		var m wirepb.NodeUpdate
		if proto.Unmarshal(text, &m) != nil {
			return
		}
		h := newViewHarness(t)
		h.post(h.subscriber.decodeUpdate(&m))
		h.post(blackboard.NodesFound{Nodes: decodeRecords(m.GetKnown()), Now: start})
		d := newViewDecoder()
		for _, v := range m.GetViews() {
			key := blackboard.ViewKey{Source: "observer-1", DataCentre: v.GetDataCentre()}
			h.post(d.decode(key, v, start))
			h.post(blackboard.Tick{Now: start.Add(viewHold)})
		}
		_, isOwnMember := h.state.Members.ByHost["reyk-a-1"]
		assert.Assert(t, !isOwnMember)
		for key, v := range h.state.Members.Views {
			assert.Assert(t, key.DataCentre != "reyk-a")
			for host, n := range v.Nodes {
				assert.Equal(t, n.Record.Host, host)
				assert.Equal(t, n.Record.DataCentre, key.DataCentre)
			}
		}
	})
}
