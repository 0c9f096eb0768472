package receiver

import (
	"net/http"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/identifier"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// configBehindRetryDelay is when a caller may come back whose access key may be in a
// version that this node does not have yet.
const configBehindRetryDelay = 200 * time.Millisecond

// identify returns the firm of the request, or the refusal of one whose access key is not
// known. A request is checked in this order: route, access key, the firm's limit, room.
func (c *call) identify(running *snapshotter.Snapshot, route snapshotter.Route) (snapshotter.Firm, *exchanger.Answer) {
	d := &c.receiver.cfg.Dialect
	firm, verdict := identifier.Identify(running, route, d.AccessKeyScheme, c.httpRequest.Header[d.AccessKey])
	if verdict != identifier.VerdictUnknown {
		return firm, nil
	}
	if c.receiver.isConfigBehind(running) {
		a := exchanger.NotRun(exchanger.ReasonConfigBehind, nil)
		a.RetryAt = time.Now().Add(configBehindRetryDelay)
		return firm, a
	}
	return firm, exchanger.NotRun(exchanger.ReasonAccessKeyUnknown, nil)
}

// isConfigBehind reports whether there may be a greater version than the running one, which
// this node does not have or cannot read. A caller does not come back after it was told
// that its key is unknown.
func (rc *Receiver) isConfigBehind(running *snapshotter.Snapshot) bool {
	state := rc.cfg.State()
	config := &state.Config
	if config.Stage.Next != nil && config.Stage.Next.Version > running.Version {
		return true
	}
	return config.PlatformLost || config.PeerVersion.Version > running.Version || config.Refused.IsSet() || !rc.isWatched(state)
}

// watchedState is a state with what poller.IsWatched returns for it.
type watchedState struct {
	state   *blackboard.State
	watched bool
}

// isWatched looks at all members of the data centre once for each state, so that unknown
// keys cost little while many come.
func (rc *Receiver) isWatched(state *blackboard.State) bool {
	if last := rc.watched.Load(); last != nil && last.state == state {
		return last.watched
	}
	next := &watchedState{state: state, watched: poller.IsWatched(state, state.Config.PlatformLost)}
	rc.watched.Store(next)
	return next.watched
}

// takeToken returns the refusal of a request beyond its firm's limit, or nil. Such a
// request costs nothing but its answer.
func (c *call) takeToken() *exchanger.Answer {
	if c.receiver.cfg.TakeToken == nil || c.firm.Rate == 0 {
		return nil
	}
	retryAt, ok := c.receiver.cfg.TakeToken(time.Now(), c.firm)
	if ok {
		return nil
	}
	a := exchanger.NotRun(exchanger.ReasonOverLimit, nil)
	a.RetryAt = retryAt
	return a
}

// returnToken gives the token back of a request that no target has run.
func (c *call) returnToken(a *exchanger.Answer) {
	if c.receiver.cfg.ReturnToken != nil && c.firm.Rate != 0 && a.Outcome == retrier.OutcomeNotRun {
		c.receiver.cfg.ReturnToken(time.Now(), c.firm)
	}
}

// setFirm makes the request one of the firm. What the caller says of its firm is dropped,
// and its key goes no further than this node.
func (c *call) setFirm(firm snapshotter.Firm) {
	d := &c.receiver.cfg.Dialect
	c.firm = firm
	c.request.Firm = firm.Name
	c.request.Priority += firm.Priority * (snapshotter.MaxPriority + 1)
	delete(c.request.Header, http.CanonicalHeaderKey(d.AccessKey))
	delete(c.request.Header, http.CanonicalHeaderKey(d.Firm))
	if firm.Name != "" {
		c.request.Header[http.CanonicalHeaderKey(d.Firm)] = []string{firm.Name}
	}
}
