package executor

import (
	"slices"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/logger"
)

const (
	// shortageInterval is the time between two looks at who is put behind.
	shortageInterval = time.Second
	// maxShortageLines bounds the lines that are logged at one look.
	maxShortageLines = 8
)

// shortageLog reports who is put behind at the target, when that begins.
type shortageLog struct {
	nextLook time.Time
	last     limiter.Shortage
}

// reportShortage logs who is put behind at the target and was not at the last look, and
// passes the counts on.
func (e *Executor) reportShortage(now time.Time, t blackboard.Target) {
	e.mu.Lock()
	gate, last := e.gate, e.shortage.last
	if gate == nil || now.Before(e.shortage.nextLook) {
		e.mu.Unlock()
		return
	}
	current := gate.Shortage()
	e.shortage = shortageLog{nextLook: now.Add(shortageInterval), last: current}
	e.mu.Unlock()
	if e.cfg.ObserveShortage != nil {
		e.cfg.ObserveShortage(current)
	}
	lines := 0
	write := func(event logger.Event, names, before []string, set func(f *logger.Fields, name string)) {
		for _, name := range names {
			if _, known := slices.BinarySearch(before, name); known || lines == maxShortageLines {
				continue
			}
			f := logger.Fields{Service: t.Record.Service, Target: t.ID}
			set(&f, name)
			e.cfg.Log.Write(event, f)
			lines++
		}
	}
	setFirm := func(f *logger.Fields, name string) { f.Firm = name }
	setRoute := func(f *logger.Fields, name string) { f.Route = name }
	write(logger.FirmOverPart, current.FirmsOverPart, last.FirmsOverPart, setFirm)
	write(logger.LongRequestsHeld, current.HeldRoutes, last.HeldRoutes, setRoute)
	write(logger.RouteStarved, current.StarvedRoutes, last.StarvedRoutes, setRoute)
}
