package logger

// Events 500 to 599: the platform and its stand-in.
var (
	StandinStarted = Event{
		Number: 500, Name: "standin-started", Level: LevelInfo,
		Meaning: "The platform stand-in listens on the address in the peer field.",
		Action:  "None.",
	}
	StandinFailed = Event{
		Number: 501, Name: "standin-failed", Level: LevelError,
		Meaning: "The platform stand-in cannot go on and ends.",
		Action:  "Read the error field; a port that is in use is the usual cause.",
	}
)

var platformEvents = []Event{StandinStarted, StandinFailed}
