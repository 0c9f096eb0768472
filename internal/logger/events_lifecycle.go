package logger

// Events 100 to 199 report the start and the stop of a process.
var (
	NodeStarted = Event{
		Number: 100, Name: "node-started", Level: LevelInfo,
		Meaning: "The node listens on its addresses.",
		Action:  "None.",
	}
	NodeStopped = Event{
		Number: 101, Name: "node-stopped", Level: LevelInfo,
		Meaning: "The node has finished all requests and exits.",
		Action:  "None.",
	}
	NodeFailed = Event{
		Number: 102, Name: "node-failed", Level: LevelError,
		Meaning: "The node cannot continue and exits.",
		Action:  "Read the error field. The usual causes are invalid settings or a port that is in use.",
	}
	SettingsChanged = Event{
		Number: 103, Name: "settings-changed", Level: LevelWarn,
		Meaning: "The settings file was read again, after a signal or because it has changed. The reason field lists the changed keys. They take effect at the next start.",
		Action:  "Restart the node to apply the change.",
	}
	SettingsRefused = Event{
		Number: 105, Name: "settings-refused", Level: LevelError,
		Meaning: "The settings file is not valid. The node keeps the previous settings.",
		Action:  "Correct the file. The node would not start with it.",
	}
	AcceptFailed = Event{
		Number: 107, Name: "accept-failed", Level: LevelWarn,
		Meaning: "A connection could not be accepted, mostly because the process has no free descriptor. The node pauses, closes the connections of callers that are idle for longest, and goes on.",
		Action:  "Compare the number of open connections with the descriptors of the process, and look for callers that open connections without end.",
	}
	NodeEndCut = Event{
		Number: 106, Name: "node-end-cut", Level: LevelWarn,
		Meaning: "The node exits although some of its components have not stopped. The reason field lists them. No request was in flight, or GB0402 has reported those that were.",
		Action:  "None, if it is rare. Otherwise find out what the listed components wait for. A peer that does not read blocks a link for some seconds.",
	}
	LinesDropped = Event{
		Number: 104, Name: "log-lines-dropped", Level: LevelWarn,
		Meaning: "The reader of the log was too slow. Lines were dropped; the count field holds their number.",
		Action:  "Check the process that reads the standard output of the node.",
	}
)

var lifecycleEvents = []Event{NodeStarted, NodeStopped, NodeFailed, SettingsChanged, LinesDropped, SettingsRefused, NodeEndCut, AcceptFailed}
