package executor

import "gentianbarrow.example/internal/limiter"

// Load returns the load of the target as counted by this node; false before a
// service is known.
func (e *Executor) Load() (limiter.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate == nil {
		return limiter.Load{}, false
	}
	return e.load(), true
}

// SetCallLimits sets the limits of the runs that call other services, by service.
func (e *Executor) SetCallLimits(limits map[string]float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gate != nil {
		e.gate.SetCallLimits(limits)
	}
}

// load returns the load of the target, of its node and of the host's link. The caller holds
// mu; gate is not nil.
func (e *Executor) load() limiter.Load {
	l := e.gate.Load()
	if e.cfg.DeeperWait != nil {
		l.CallWait += e.cfg.DeeperWait()
	}
	if e.cfg.Lateness != nil {
		l.NodeLateness = e.cfg.Lateness()
	}
	if e.cfg.LinkQueue != nil {
		l.LinkQueue = e.cfg.LinkQueue()
	}
	return l
}
