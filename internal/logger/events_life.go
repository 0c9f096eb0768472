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
		Meaning: "The settings file was read again, after a signal or because it differs; reason names the keys that changed. They take effect with the next start.",
		Action:  "Restart the node when the change is meant for it.",
	}
	SettingsRefused = Event{
		Number: 105, Name: "settings-refused", Level: LevelError,
		Meaning: "The settings file has changed and is not valid; the node goes on with the former settings.",
		Action:  "Mend the file: the node would not start with it.",
	}
	NodeEndCut = Event{
		Number: 106, Name: "node-end-cut", Level: LevelWarn,
		Meaning: "The node ends though some of its parts have not; reason names them. No request was in flight, or GB0402 has named those that were.",
		Action:  "None, if it is rare. Otherwise look at what the named parts wait for: a peer that does not read holds up a link for some seconds.",
	}
	LinesDropped = Event{
		Number: 104, Name: "log-lines-dropped", Level: LevelWarn,
		Meaning: "The reader of the log was too slow, and count lines were dropped.",
		Action:  "Look at what reads the node's standard output.",
	}
)

var lifeEvents = []Event{NodeStarted, NodeStopped, NodeFailed, SettingsChanged, LinesDropped, SettingsRefused, NodeEndCut}
