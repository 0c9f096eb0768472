package follower

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
)

// dataCentre returns the state of host-0, which knows the given racks. A
// capital letter stands for a dead host, and a dot ends a rack.
func dataCentre(layout string) blackboard.State {
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

func TestWitnessNeed(t *testing.T) {
	for _, c := range []struct {
		layout string
		want   need
	}{
		{"x", need{0, 0}},
		{"xx", need{1, 0}},
		{"x.x", need{1, 1}},
		{"x.X", need{0, 0}},
		{"xxx", need{2, 0}},
		{"x.x.x", need{2, 2}},
		{"x.x.X", need{1, 1}},
		{"x.X.X", need{1, 1}},
		{"xx.xx.xx.xx", need{2, 2}},
		{"xx.xx.xx.XX", need{2, 2}},
		{"xX.XX.XX.XX", need{2, 2}},
	} {
		t.Run(c.layout, func(t *testing.T) {
			s := dataCentre(c.layout)
			assert.Equal(t, witnessNeed(&s), c.want)
		})
	}
}

func TestFloorEvidence(t *testing.T) {
	for _, c := range []struct {
		name, layout string
		// silent hosts have not answered, or are recovering.
		silent []string
		want   bool
	}{
		{"a host alone has none", "x", nil, false},
		{"one other host is not enough", "x.x", nil, false},
		{"both other hosts", "x.x.x", nil, true},
		{"one of two other hosts", "x.x.x", []string{"host-1"}, false},
		{"all but one host", "xx.xx", []string{"host-3"}, true},
		{"all but two hosts of three racks", "xx.xx.xx", []string{"host-4", "host-5"}, false},
		{"all but one rack of four", "xx.xx.xx.xx", []string{"host-4", "host-5"}, true},
		{"hosts on two racks of four", "xx.xx.xx.xx", []string{"host-4", "host-6"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := dataCentre(c.layout)
			s.Config.Recovery.Answers = map[string]uint64{}
			for host := range s.Members.ByHost {
				s.Config.Recovery.Answers[host] = 5
			}
			for _, host := range append(c.silent, s.Self.Host) {
				delete(s.Config.Recovery.Answers, host)
			}
			floor, ok := floorEvidence(&s)
			assert.Equal(t, ok, c.want)
			assert.Assert(t, !ok || floor == 5)
		})
	}
	t.Run("a member that knows of more hosts shows that the list is not whole", func(t *testing.T) {
		s := dataCentre("x.x.x")
		s.Config.Recovery.Answers = map[string]uint64{"host-1": 5, "host-2": 5}
		s.Config.Recovery.MaxReportedMembers = 4
		_, ok := floorEvidence(&s)
		assert.Assert(t, !ok)
	})
}

// TestFloorsAreAskedLate checks that no floor is asked for while a version may
// still be put in force on an acknowledgement of the process before.
func TestFloorsAreAskedLate(t *testing.T) {
	f := newFollower(Platform{})
	s := dataCentre("xx.xx.xx.xx")
	start := time.Unix(1_800_000_000, 0)
	var asked time.Time
	for now := start; asked.IsZero(); now = now.Add(blackboard.TickInterval) {
		next, effects := f.reduce(s, blackboard.Tick{Now: now})
		s = next
		for _, e := range effects {
			if send, ok := e.(Send); ok && send.Frame.GetFloorAsk() != nil {
				asked = now
			}
		}
	}
	assert.Assert(t, asked.Sub(start) > witnessValid, "asked after %v", asked.Sub(start))
}
