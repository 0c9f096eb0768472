package logger

// Events 300 to 399: who is a member, and what their targets are.
var (
	PacketRefused = Event{
		Number: 300, Name: "packet-refused", Level: LevelWarn,
		Meaning: "A packet on the port for nodes was malformed, oversized or from another data centre; count tells how many since the last such event.",
		Action:  "Look for something else that sends to this port, or for a host whose settings name the wrong data centre.",
	}
	SyncFailed = Event{
		Number: 301, Name: "member-sync-failed", Level: LevelInfo,
		Meaning: "An exchange of member tables with a peer failed. It is tried again with another peer.",
		Action:  "None, unless it goes on for minutes: then check that hosts reach each other over TCP on the port for nodes.",
	}
	PeersNotFound = Event{
		Number: 302, Name: "peers-not-found", Level: LevelWarn,
		Meaning: "The node knows no live peer and could not read the relays from the platform. It tries again ever more rarely.",
		Action:  "Check the platform and the seed peers in the settings.",
	}
	Enrolled = Event{
		Number: 303, Name: "enrolled", Level: LevelInfo,
		Meaning: "The platform holds this node's address, so that others find it; count tells how many tries failed before.",
		Action:  "None.",
	}
	EnrolFailed = Event{
		Number: 304, Name: "enrol-failed", Level: LevelWarn,
		Meaning: "The platform did not take this node's address, or its removal. It is tried again.",
		Action:  "Check the platform.",
	}
	EnrolmentRefused = Event{
		Number: 305, Name: "enrolment-refused", Level: LevelWarn,
		Meaning: "The object in the reason field does not hold the address of a node.",
		Action:  "Look for another writer of this kind of objects.",
	}
	NodeChanged = Event{
		Number: 306, Name: "node-changed", Level: LevelInfo,
		Meaning: "A node told that its target, its life or its configuration has changed; the reason field holds the phase of its target.",
		Action:  "None.",
	}
	NodeGone = Event{
		Number: 307, Name: "node-gone", Level: LevelWarn,
		Meaning: "A node closed its stream (dead) or sent nothing for a while (suspect); nothing is sent to its target.",
		Action:  "None when the host is being replaced; otherwise look at the host and the link to it.",
	}
	NodeMistaken = Event{
		Number: 308, Name: "node-mistaken", Level: LevelInfo,
		Meaning: "Another node answers at the address of the one in the peer-host field, which is forgotten.",
		Action:  "None.",
	}
	AnnouncementRefused = Event{
		Number: 310, Name: "announcement-refused", Level: LevelWarn,
		Meaning: "An announcement of the target on this host was malformed.",
		Action:  "Read the error field and mend the target's announcement.",
	}
	TargetChanged = Event{
		Number: 311, Name: "target-changed", Level: LevelInfo,
		Meaning: "The phase of the target on this host has changed as the reason field says; count tells the failed requests in a row.",
		Action:  "Failed means that it takes no work: look at the target's own log.",
	}
	SummaryFailed = Event{
		Number: 320, Name: "summary-fetch-failed", Level: LevelInfo,
		Meaning: "Summaries of other data centres could not be fetched from a peer.",
		Action:  "None, unless it goes on for minutes: then a data centre may be cut off; see the page on that.",
	}
	RelaysNotFound = Event{
		Number: 321, Name: "remote-relays-not-found", Level: LevelInfo,
		Meaning: "The relays of the other data centres could not be read from the platform. The last ones known stay in use.",
		Action:  "Check the platform.",
	}
)

var membershipEvents = []Event{
	PacketRefused, SyncFailed, PeersNotFound, AnnouncementRefused,
	Enrolled, EnrolFailed, EnrolmentRefused, NodeChanged, NodeGone, NodeMistaken, TargetChanged, SummaryFailed, RelaysNotFound,
}
