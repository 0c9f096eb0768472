package logger

// Events 434 to 439 report the limits of firms.
var (
	FirmLimited = Event{
		Number: 434, Name: "firm-limited", Level: LevelInfo,
		Meaning: "A firm has come near its limit in this data centre. From now on nodes admit a part of its requests; the others are answered with the reason over-limit.",
		Action:  "None, if the firm is meant to be held. Otherwise compare its rate and burst with gentian_requests_total by firm over all nodes.",
	}
	FirmReleased = Event{
		Number: 435, Name: "firm-released", Level: LevelInfo,
		Meaning: "A firm is below its limit in this data centre again. All of its requests are admitted.",
		Action:  "None.",
	}
	LimitKeepersChanged = Event{
		Number: 436, Name: "limit-keepers-changed", Level: LevelInfo,
		Meaning: "The nodes that keep the limits of firms for this node have changed. The peer field lists them; the reason field lists those before.",
		Action:  "None, unless it happens often. Then see the event limit-keeper-lost.",
	}
	LimitKeeperLost = Event{
		Number: 437, Name: "limit-keeper-lost", Level: LevelWarn,
		Meaning: "A node that keeps the limits of firms has not answered in time, or its stream has ended. The next one is asked; until it answers, this node uses its own part of each limit.",
		Action:  "Look at the peer: it has ended, is cut off, or lacks processor time, which gentian_processor_delay_seconds shows.",
	}
)

var limitEvents = []Event{FirmLimited, FirmReleased, LimitKeepersChanged, LimitKeeperLost}
