package follower

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
)

// stateWithLayout returns the state of host-0, which knows the hosts of the
// layout. Each letter is a host, dead if it is a capital, and a dot starts the
// next rack.
func stateWithLayout(layout string) blackboard.State {
	s := blackboard.State{
		Self:   blackboard.Self{Host: "host-0", Address: "host-0", Rack: "rack-0"},
		Config: NewConfig(), Lease: elector.NoLease(),
	}
	s.Members.ByHost = map[string]blackboard.Member{}
	rack, host := 0, 0
	for _, c := range layout {
		if c == '.' {
			rack++
			continue
		}
		m := blackboard.Member{Host: fmt.Sprintf("host-%d", host), Rack: fmt.Sprintf("rack-%d", rack), Status: blackboard.MemberAlive}
		if c == 'X' {
			m.Status = blackboard.MemberDead
		}
		m.Address = m.Host
		s.Members.ByHost[m.Host] = m
		host++
	}
	return s
}

func TestRequiredWitnesses(t *testing.T) {
	for _, c := range []struct {
		layout string
		want   hostCount
	}{
		{"x", hostCount{0, 0}},
		{"xx", hostCount{1, 0}},
		{"x.x", hostCount{1, 1}},
		{"x.X", hostCount{0, 0}},
		{"xxx", hostCount{2, 0}},
		{"x.x.x", hostCount{2, 2}},
		{"x.x.X", hostCount{1, 1}},
		{"x.X.X", hostCount{1, 1}},
		{"xx.xx.xx.xx", hostCount{2, 2}},
		{"xx.xx.xx.XX", hostCount{2, 2}},
		{"xX.XX.XX.XX", hostCount{2, 2}},
	} {
		t.Run(c.layout, func(t *testing.T) {
			s := stateWithLayout(c.layout)
			assert.Equal(t, requiredWitnesses(&s), c.want)
		})
	}
}

func TestFloorFromAnswers(t *testing.T) {
	for _, c := range []struct {
		name, layout string
		// silent hosts have not answered, or are recovering.
		silent []string
		want   bool
	}{
		{"no other host", "x", nil, false},
		{"one other host is not enough", "x.x", nil, false},
		{"both other hosts", "x.x.x", nil, true},
		{"one of two other hosts", "x.x.x", []string{"host-1"}, false},
		{"all but one host", "xx.xx", []string{"host-3"}, true},
		{"all but two hosts of three racks", "xx.xx.xx", []string{"host-4", "host-5"}, false},
		{"all but one rack of four", "xx.xx.xx.xx", []string{"host-4", "host-5"}, true},
		{"hosts on two racks of four", "xx.xx.xx.xx", []string{"host-4", "host-6"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := stateWithLayout(c.layout)
			s.Config.Recovery.Answers = map[string]uint64{}
			for host := range s.Members.ByHost {
				s.Config.Recovery.Answers[host] = 5
			}
			for _, host := range append(c.silent, s.Self.Host) {
				delete(s.Config.Recovery.Answers, host)
			}
			floor, ok := floorFromAnswers(&s)
			assert.Equal(t, ok, c.want)
			assert.Assert(t, !ok || floor == 5)
		})
	}
	t.Run("a member that knows more hosts shows that the member list is incomplete", func(t *testing.T) {
		s := stateWithLayout("x.x.x")
		s.Config.Recovery.Answers = map[string]uint64{"host-1": 5, "host-2": 5}
		s.Config.Recovery.MaxReportedMembers = 4
		_, ok := floorFromAnswers(&s)
		assert.Assert(t, !ok)
	})
}

// TestFloorAskDelay checks that a restarted node asks for floors only when
// no version can still be applied on an acknowledgement of the earlier process.
func TestFloorAskDelay(t *testing.T) {
	f := newFollower(Platform{})
	s := stateWithLayout("xx.xx.xx.xx")
	start := time.Unix(1_800_000_000, 0)
	var asked time.Time
	for now := start; asked.IsZero(); now = now.Add(blackboard.TickInterval) {
		next, effects := f.reduce(s, blackboard.Tick{Now: now})
		s = next
		for _, e := range effects {
			if send, ok := e.(SendFrame); ok && send.Frame.GetFloorAsk() != nil {
				asked = now
			}
		}
	}
	assert.Assert(t, asked.Sub(start) > witnessAckValidity, "asked after %v", asked.Sub(start))
}
