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
	SettingsChanged = Event{
		Number: 103, Name: "settings-changed", Level: LevelWarn,
		Meaning: "The settings file has changed; the reason field tells whether by a signal. Nothing in it can be changed while the node runs.",
		Action:  "Restart the node when the change is meant for it.",
	}
	LinesDropped = Event{
		Number: 104, Name: "log-lines-dropped", Level: LevelWarn,
		Meaning: "The reader of the log was too slow, and count lines were dropped.",
		Action:  "Look at what reads the node's standard output.",
	}
)

var lifeEvents = []Event{NodeStarted, NodeStopped, NodeFailed, SettingsChanged, LinesDropped}
