package blackboard

import "time"

// Tick gives controllers the current time. The node posts one every TickInterval.
type Tick struct{ Now time.Time }

// TickInterval is the time between two ticks.
const TickInterval = 100 * time.Millisecond

// StopRequested asks the node to drain and stop.
type StopRequested struct{ Now time.Time }
