package commander

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/inspector"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

// session records commands and their output as an operator sees them.
type session struct {
	fake   *storer.Fake
	view   inspector.View
	record bytes.Buffer
	// stdin is what commands read from the standard input.
	stdin string
	// operationCount is the number of operation IDs returned.
	operationCount int
	// beforeHeadUpdate, if set, runs once before the next update of the head.
	beforeHeadUpdate func()
}

func (s *session) newTicketer(string) *ticketer.Ticketer {
	client := s.fake.Client()
	put := client.Put
	client.Put = func(ctx context.Context, key string, value []byte, revision uint64) (storer.Object, error) {
		if run := s.beforeHeadUpdate; run != nil && key == ticketer.HeadKey {
			s.beforeHeadUpdate = nil
			run()
		}
		return put(ctx, key, value, revision)
	}
	tk := ticketer.New(client)
	tk.Backoff = backOff
	tk.NewOperationID = func() string {
		s.operationCount++
		return fmt.Sprintf("operation-%d", s.operationCount)
	}
	return tk
}

// backOff waits without jitter, so that recorded sessions are deterministic.
func backOff(ctx context.Context, attempt int) error {
	time.Sleep(time.Duration(attempt) * 100 * time.Millisecond)
	return ctx.Err()
}

// run executes one command line and records it.
func (s *session) run(ctx context.Context, line string) {
	var out, errOut bytes.Buffer
	c := &Commander{
		Out: &out, Err: &errOut, NewTicketer: s.newTicketer,
		ReadFile: func(path string) ([]byte, error) {
			if path == "-" {
				return []byte(s.stdin), nil
			}
			return os.ReadFile(filepath.Join("testdata", path))
		},
		FetchView: func(context.Context, string) (inspector.View, error) { return s.view, nil },
	}
	fmt.Fprintf(&s.record, "$ gentianctl %s\n", line)
	code := c.Run(ctx, strings.Fields(line))
	s.record.Write(out.Bytes())
	for l := range strings.Lines(errOut.String()) {
		s.record.WriteString("! " + l)
	}
	fmt.Fprintf(&s.record, "(exit code %d)\n\n", code)
}

// comment records a line that is not a command.
func (s *session) comment(text string) { fmt.Fprintf(&s.record, "# %s\n", text) }

// runSession records a session under fake time and compares it with its golden file.
func runSession(t *testing.T, name string, script func(t *testing.T, s *session)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		s := &session{fake: storer.NewFake()}
		synctest.Test(t, func(t *testing.T) { script(t, s) })
		golden.Assert(t, s.record.String(), name+".golden")
	})
}

// runAll executes command lines in sequence, one second apart.
func (s *session) runAll(t *testing.T, lines ...string) {
	t.Helper()
	for _, line := range lines {
		s.run(t.Context(), line)
		time.Sleep(time.Second)
	}
}

// writeStatus writes the status of a data centre with four nodes.
func (s *session) writeStatus(t *testing.T, dataCentre string, lifetime time.Duration, versions ...ticketer.VersionCount) {
	t.Helper()
	now := time.Now()
	assert.NilError(t, ticketer.WriteStatus(t.Context(), s.fake.Client(), ticketer.DataCentreStatus{
		DataCentre: dataCentre, Epoch: 1, CountedAt: now, ExpiresAt: now.Add(lifetime), Nodes: 4, Versions: versions,
	}))
}

func TestSessions(t *testing.T) {
	runSession(t, "accepted", func(t *testing.T, s *session) {
		s.runAll(t, "ticket plan first.yaml", "ticket file --author sigga first.yaml", "ticket show 1",
			"ticket approve 1 --author sigga", "ticket approve 1 --author jon", "ticket show 1")
		s.comment("the relays of reyk-a and hafn-c write their status, and hafn-c is cut off")
		s.writeStatus(t, "reyk-a", time.Minute, ticketer.VersionCount{Version: 1, Nodes: 3})
		s.writeStatus(t, "hafn-c", time.Second, ticketer.VersionCount{Version: 1, Nodes: 2})
		time.Sleep(2 * time.Second)
		s.runAll(t, "ticket show 1", "ticket plan second.yaml", "ticket file --author jon second.yaml",
			"ticket approve 2 --author sigga", "ticket list", "ticket show 2 --output json")
	})
	runSession(t, "refused", func(t *testing.T, s *session) {
		s.runAll(t, "ticket file --author sigga first.yaml", "ticket file --author sigga second.yaml",
			"ticket file --author sigga remove.yaml", "ticket file --author sigga missing.yaml",
			"ticket approve 2 --author jon", "ticket approve 1 --author jon", "ticket show 1",
			"ticket approve 4 --author jon", "ticket withdraw 1 --author sigga",
			"ticket settle 3", "ticket withdraw 3 --author sigga", "ticket approve 3 --author jon", "ticket list")
	})
	runSession(t, "race", func(t *testing.T, s *session) {
		s.runAll(t, "ticket file --author sigga first.yaml", "ticket file --author sigga second.yaml",
			"ticket file --author sigga other.yaml")
		s.beforeHeadUpdate = func() {
			s.comment("meanwhile, two other operators approve tickets first")
			s.run(t.Context(), "ticket approve 2 --author anna")
			s.run(t.Context(), "ticket approve 3 --author olaf")
			s.comment("the first operator's command continues")
		}
		s.runAll(t, "ticket approve 1 --author jon", "ticket list")
	})
	runSession(t, "removal", func(t *testing.T, s *session) {
		s.runAll(t, "ticket file --author sigga first.yaml", "ticket approve 1 --author jon",
			"ticket file --author sigga remove.yaml", "ticket approve 2 --author jon", "ticket plan remove.yaml --output json")
	})
	runSession(t, "lost-answers", func(t *testing.T, s *session) {
		s.comment("every second write takes effect, but its answer is lost")
		writes := 0
		s.fake.Intercept = func(op storer.Op, _ string) storer.Fault {
			if op != storer.OpPut {
				return storer.FaultNone
			}
			if writes++; writes%2 == 1 {
				return storer.FaultAnswerLost
			}
			return storer.FaultNone
		}
		s.runAll(t, "ticket file --author sigga first.yaml", "ticket approve 1 --author jon", "ticket list")
	})
	runSession(t, "retried", func(t *testing.T, s *session) {
		s.runAll(t, "ticket file --author sigga first.yaml")
		s.comment("the platform refuses the first write of the head")
		s.fake.Intercept = func(op storer.Op, key string) storer.Fault {
			if op == storer.OpPut && key == ticketer.HeadKey {
				s.fake.Intercept = nil
				return storer.FaultRefused
			}
			return storer.FaultNone
		}
		s.runAll(t, "ticket approve 1 --author jon")
	})
}

func TestOutageSession(t *testing.T) {
	runSession(t, "interrupted", func(t *testing.T, s *session) {
		s.runAll(t, "ticket file --author sigga first.yaml")
		s.comment("the platform refuses every write of the head")
		s.fake.Intercept = func(op storer.Op, key string) storer.Fault {
			if op == storer.OpPut && key == ticketer.HeadKey {
				return storer.FaultRefused
			}
			return storer.FaultNone
		}
		s.runAll(t, "ticket approve 1 --author jon", "ticket show 1", "ticket withdraw 1 --author sigga")
		s.comment("the platform is down")
		s.fake.SetFaults(storer.Faults{Outage: true})
		s.runAll(t, "ticket show 1", "ticket show 1 --output json")
		s.comment("the platform is back")
		s.fake.Intercept = nil
		s.fake.SetFaults(storer.Faults{})
		s.runAll(t, "ticket settle 1", "ticket settle 1")
	})
	runSession(t, "usage", func(t *testing.T, s *session) {
		s.runAll(t, "tickets", "ticket show one", "ticket approve 1", "ticket file bad.yaml --author sigga",
			"ticket file none.yaml --author sigga", "ticket file first.yaml", "ticket list --output xml", "ticket show 1", "nodes", "help")
	})
}

func TestNodeSession(t *testing.T) {
	runSession(t, "node", func(t *testing.T, s *session) {
		s.view = inspector.View{
			Self:      inspector.SelfView{Host: "reyk-a-1", DataCentre: "reyk-a"},
			Lifecycle: blackboard.LifecycleServing,
			Config:    inspector.ConfigView{Running: 3, Floor: 3},
			Members: []inspector.MemberView{
				{Host: "reyk-a-1", Address: "10.0.0.1:7100", Rack: "r1", Status: blackboard.MemberAlive, Service: "booking", Phase: blackboard.TargetReady},
				{Host: "reyk-a-2", Address: "10.0.0.2:7100", Rack: "r2", Status: blackboard.MemberSuspect, Incarnation: 2},
			},
			Remote: []inspector.RemoteView{{
				DataCentre: "hafn-c", Received: time.Now(),
				Services: []inspector.ServiceView{{Service: "booking", Targets: 1, Slots: 20}},
			}},
			Services: []snapshotter.Service{{Name: "booking", Firm: "frothvik", Slots: 20, Connections: 110, Ticket: 1}},
			Routes: []snapshotter.Route{{
				Name: "booking", Prefix: "/booking", Methods: []string{"POST"}, Service: "booking",
				Class: snapshotter.ClassShort, TimeoutMs: 2000, Ticket: 2,
			}},
		}
		s.runAll(t, "nodes --node 10.0.0.1:7200", "targets --node 10.0.0.1:7200", "config --node 10.0.0.1:7200",
			"config --node 10.0.0.1:7200 --output json")
		s.comment("the platform holds a version that this node cannot read")
		s.view.Config.Refused = &inspector.RefusedView{Version: 4, Reason: "field routes.r-1.kind: must be idempotent", Since: time.Now()}
		s.runAll(t, "nodes --node 10.0.0.1:7200", "config --node 10.0.0.1:7200")
	})
}

// TestFirmSession checks that an operator gives a firm keys and takes one away without
// showing any to the commands or seeing one.
func TestFirmSession(t *testing.T) {
	runSession(t, "firms", func(t *testing.T, s *session) {
		s.comment("the standard input holds a key")
		s.stdin = "key-of-rocklea-1\n"
		s.runAll(t, "key digest", "key digest --output json", "key digest key-of-rocklea-1")
		s.stdin = "two keys"
		s.runAll(t, "key digest")
		s.stdin = "\n"
		s.runAll(t, "key digest", "ticket file --author sigga first.yaml", "ticket approve 1 --author jon",
			"ticket plan firms.yaml", "ticket file --author sigga firms.yaml", "ticket approve 2 --author jon",
			"ticket plan rotate.yaml", "ticket file --author sigga rotate.yaml", "ticket show 3",
			"ticket approve 3 --author jon", "ticket plan shared.yaml")
		_, _, running, err := ticketer.Load(t.Context(), s.fake.Client(), nil)
		assert.NilError(t, err)
		s.view = inspector.NewView(&blackboard.State{Self: blackboard.Self{Host: "reyk-a-1"}, Config: blackboard.Config{Running: running}})
		s.runAll(t, "config --node 10.0.0.1:7200")
		firm, ok := snapshotter.KeyOwner(running, "key-of-rocklea-2")
		assert.Assert(t, ok)
		assert.Equal(t, firm.Name, "rocklea")
		_, ok = snapshotter.KeyOwner(running, "key-of-rocklea-1")
		assert.Assert(t, !ok)
	})
}
