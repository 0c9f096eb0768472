package logger

// Events 500 to 599 report the stand-in for the platform.
var (
	StandinStarted = Event{
		Number: 500, Name: "standin-started", Level: LevelInfo,
		Meaning: "The platform stand-in listens on the address in the peer field.",
		Action:  "None.",
	}
	StandinFailed = Event{
		Number: 501, Name: "standin-failed", Level: LevelError,
		Meaning: "The platform stand-in cannot continue and exits.",
		Action:  "Read the error field. The usual cause is a port that is in use.",
	}
)

var platformEvents = []Event{StandinStarted, StandinFailed}
