package logger

// Events 100 to 199: start and stop of a process.
var (
	NodeStarted = Event{
		Number: 100, Name: "node-started", Level: LevelInfo,
		Meaning: "The node listens on its addresses.",
		Action:  "None.",
	}
	NodeStopped = Event{
		Number: 101, Name: "node-stopped", Level: LevelInfo,
		Meaning: "The node has finished every request and ends.",
		Action:  "None.",
	}
	NodeFailed = Event{
		Number: 102, Name: "node-failed", Level: LevelError,
		Meaning: "The node cannot go on and ends.",
		Action:  "Read the error field; settings or a port that is in use are the usual causes.",
	}
)

var lifeEvents = []Event{NodeStarted, NodeStopped, NodeFailed}
