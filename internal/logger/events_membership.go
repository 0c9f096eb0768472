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
	AnnouncementRefused = Event{
		Number: 310, Name: "announcement-refused", Level: LevelWarn,
		Meaning: "An announcement of the target on this host was malformed.",
		Action:  "Read the error field and mend the target's announcement.",
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
	PacketRefused, SyncFailed, PeersNotFound, AnnouncementRefused, SummaryFailed, RelaysNotFound,
}
