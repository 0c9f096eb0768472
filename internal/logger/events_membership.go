package logger

// Events 300 to 399 report the members of the mesh and the state of their targets.
var (
	PacketRefused = Event{
		Number: 300, Name: "packet-refused", Level: LevelWarn,
		Meaning: "A packet on the port for nodes was malformed, too large or from another data centre. The count field holds the number of such packets since the previous event.",
		Action:  "Look for another program that sends to this port, or for a host with the wrong data centre in its settings.",
	}
	SyncFailed = Event{
		Number: 301, Name: "member-sync-failed", Level: LevelInfo,
		Meaning: "The synchronisation of the member tables with a peer failed. The node retries with another peer.",
		Action:  "None, unless it continues for minutes. Then check that hosts reach each other over TCP on the port for nodes.",
	}
	PeersNotFound = Event{
		Number: 302, Name: "peers-not-found", Level: LevelWarn,
		Meaning: "The node knows no live peer and could not read the relays from the platform. It retries at increasing intervals.",
		Action:  "Check the platform and the seed peers in the settings.",
	}
	Enrolled = Event{
		Number: 303, Name: "enrolled", Level: LevelInfo,
		Meaning: "The platform stores the address of this node, so that other nodes find it. The count field holds the number of failed attempts before.",
		Action:  "None.",
	}
	EnrolFailed = Event{
		Number: 304, Name: "enrol-failed", Level: LevelWarn,
		Meaning: "The address of this node, or the departure of its target if the reason says so, could not be stored on the platform, or the object of a node that has left could not be marked or removed. The node retries a failed write; after a failure during a stop, the address may remain.",
		Action:  "Check the platform.",
	}
	EnrolmentRefused = Event{
		Number: 305, Name: "enrolment-refused", Level: LevelWarn,
		Meaning: "The object in the reason field does not hold the address of a node.",
		Action:  "Look for another program that writes objects of this kind.",
	}
	NodeChanged = Event{
		Number: 306, Name: "node-changed", Level: LevelInfo,
		Meaning: "A node reported a change of its target, its lifecycle or its configuration. The reason field holds the phase of its target.",
		Action:  "None.",
	}
	NodeGone = Event{
		Number: 307, Name: "node-gone", Level: LevelWarn,
		Meaning: "A node closed its stream (reason dead) or timed out (reason suspect), or no view of its data centre has it any more (dead) or is left (suspect). No request is sent to its target.",
		Action:  "None, if the host is being replaced. Otherwise check the host and the link to it.",
	}
	NodeMistaken = Event{
		Number: 308, Name: "node-mistaken", Level: LevelInfo,
		Meaning: "The node in the peer-host field is removed from the members, because another node answers at its address.",
		Action:  "None.",
	}
	AnnouncementRefused = Event{
		Number: 310, Name: "announcement-refused", Level: LevelWarn,
		Meaning: "An announcement of the target on this host was malformed.",
		Action:  "Read the error field and correct the announcement of the target.",
	}
	TargetChanged = Event{
		Number: 311, Name: "target-changed", Level: LevelInfo,
		Meaning: "The phase of the target on this host has changed. The reason field holds the old and the new phase, the count field the number of consecutive failed requests.",
		Action:  "If the phase is failed, the target receives no requests: read the log of the target.",
	}
	TargetLimitChanged = Event{
		Number: 312, Name: "target-limit-changed", Level: LevelInfo,
		Meaning: "The target on this host states in its answers another limit on the requests a second that it accepts, or no longer states one. The reason field holds the old and the new limit, the load field what the target was doing.",
		Action:  "None, if it is short. Otherwise read the log of the target. The metric gentian_target_requests_total tells what this node sends to it.",
	}
	TargetReportRefused = Event{
		Number: 313, Name: "target-report-refused", Level: LevelWarn,
		Meaning: "An answer of the target on this host states a limit that is not a number of requests a second. The reason field holds its value. The limit before it stays in force.",
		Action:  "Correct the target.",
	}
	DataCentreObserved = Event{
		Number: 314, Name: "data-centre-observed", Level: LevelInfo,
		Meaning: "This node receives the view of another data centre from the node in the peer-host field and passes it on to the nodes of its own.",
		Action:  "None.",
	}
	ObservationLost = Event{
		Number: 315, Name: "observation-lost", Level: LevelWarn,
		Meaning: "The node in the peer-host field no longer sends the view of its data centre. This node observes another one there; without success for a second, the data centre counts as unreachable here.",
		Action:  "None, if the host is being replaced. If it repeats for all hosts of a data centre, check the link to it.",
	}
	SummaryFailed = Event{
		Number: 320, Name: "summary-fetch-failed", Level: LevelInfo,
		Meaning: "The summaries of other data centres could not be fetched from a peer.",
		Action:  "None, unless it continues for minutes. Then a data centre may be unreachable; see the documentation page on that.",
	}
	RelaysNotFound = Event{
		Number: 321, Name: "remote-relays-not-found", Level: LevelInfo,
		Meaning: "The relays of the other data centres could not be read from the platform. The last known relays stay in use.",
		Action:  "Check the platform.",
	}
)

var membershipEvents = []Event{
	PacketRefused, SyncFailed, PeersNotFound, AnnouncementRefused,
	Enrolled, EnrolFailed, EnrolmentRefused, NodeChanged, NodeGone, NodeMistaken, TargetChanged, TargetLimitChanged, TargetReportRefused,
	DataCentreObserved, ObservationLost,
	SummaryFailed, RelaysNotFound,
}
