package receiver

import (
	"net/http"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/identifier"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/ranker"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// The times after which a caller may come back whose access key may be in a version that
// this node does not have.
const (
	// versionPendingDelay holds while the version is under way to this node, which takes
	// some hundred milliseconds.
	versionPendingDelay = 200 * time.Millisecond
	// outOfTouchDelay holds while this node cannot tell when it will have the version.
	outOfTouchDelay = time.Second
)

// identify returns the firm of the request, or the refusal of one whose access key is not
// known. A request is checked in this order: route, access key, the firm's limit, room.
func (c *call) identify(running *snapshotter.Snapshot, route snapshotter.Route) (snapshotter.Firm, *exchanger.Answer) {
	d := &c.receiver.cfg.Dialect
	firm, verdict := identifier.Identify(running, route, d.AccessKeyScheme, c.httpRequest.Header[d.AccessKey])
	if verdict != identifier.VerdictUnknown {
		return firm, nil
	}
	if delay := c.receiver.configBehindDelay(running); delay > 0 {
		a := exchanger.NotRun(exchanger.ReasonConfigBehind, nil)
		now := time.Now()
		a.RetryAt = now.Add(delay + ranker.Jitter(c.record.RequestID, now, 0, delay/2))
		return firm, a
	}
	return firm, exchanger.NotRun(exchanger.ReasonAccessKeyUnknown, nil)
}

// configBehindDelay returns after which time a caller with an unknown key may come back if
// there may be a greater version than the running one, which this node does not have or
// cannot read; 0 if this node has the latest as far as it knows. A caller does not come
// back after it was told that its key is unknown.
func (rc *Receiver) configBehindDelay(running *snapshotter.Snapshot) time.Duration {
	state := rc.cfg.State()
	config := &state.Config
	isStaged := config.Stage.Next != nil && config.Stage.Next.Version > running.Version
	switch {
	case isStaged, config.PeerVersion.Version > running.Version:
		return versionPendingDelay
	case config.PlatformLost, config.Refused.IsSet(), !rc.isWatched(state):
		return outOfTouchDelay
	default:
		return 0
	}
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
	c.request.Firm, c.request.FirmRate = firm.Name, firm.Rate
	c.request.Priority += firm.Priority * (snapshotter.MaxPriority + 1)
	delete(c.request.Header, http.CanonicalHeaderKey(d.AccessKey))
	delete(c.request.Header, http.CanonicalHeaderKey(d.Firm))
	if firm.Name != "" {
		c.request.Header[http.CanonicalHeaderKey(d.Firm)] = []string{firm.Name}
	}
}
