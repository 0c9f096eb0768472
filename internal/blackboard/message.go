package blackboard

import "time"

// Tick tells controllers what time it is. The node posts one every TickEvery.
type Tick struct{ Now time.Time }

// TickEvery is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// StopRequested asks the node to drain and stop.
type StopRequested struct{ Now time.Time }
