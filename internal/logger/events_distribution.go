package logger

// Events 200 to 299: configuration, from the platform to every node.
var (
	ConfigApplied = Event{
		Number: 200, Name: "config-applied", Level: LevelInfo,
		Meaning: "A new version of the configuration is in force on this node.",
		Action:  "None.",
	}
	ConfigRefused = Event{
		Number: 201, Name: "config-refused", Level: LevelError,
		Meaning: "A version failed validation or its digest and was not applied; the node keeps the version it runs.",
		Action:  "Read the error field; if many nodes report the same version, withdraw the change by a new ticket.",
	}
	ConfigFetchedWhole = Event{
		Number: 202, Name: "config-fetched-whole", Level: LevelInfo,
		Meaning: "A delta did not fit, so the node asks for the whole snapshot.",
		Action:  "None, unless it repeats; then look for nodes with different program versions.",
	}
	ConfigUnwitnessed = Event{
		Number: 203, Name: "config-unwitnessed", Level: LevelWarn,
		Meaning: "A version waits because too few nodes on other racks have recorded it.",
		Action:  "Look for racks or links that are down; the node goes on with the version it runs.",
	}
	ParentChanged = Event{
		Number: 210, Name: "parent-changed", Level: LevelInfo,
		Meaning: "The node follows another parent.",
		Action:  "None, unless one parent loses its children over and over.",
	}
	ParentSilent = Event{
		Number: 211, Name: "parent-silent", Level: LevelWarn,
		Meaning: "The parent missed its heartbeats, and the node looks for another.",
		Action:  "Look at the parent's host and the link to it.",
	}
	LeaseTaken = Event{
		Number: 220, Name: "lease-taken", Level: LevelInfo,
		Meaning: "The node holds a relay slot and watches the platform for its data centre.",
		Action:  "None.",
	}
	LeaseLost = Event{
		Number: 221, Name: "lease-lost", Level: LevelInfo,
		Meaning: "The node no longer holds its relay slot.",
		Action:  "None; another node takes the slot. If all slots stay empty, look at the platform.",
	}
	PlatformSilent = Event{
		Number: 222, Name: "platform-silent", Level: LevelWarn,
		Meaning: "A relay could not reach the platform and tries again later.",
		Action:  "Follow the page on a platform outage.",
	}
	PlatformLost = Event{
		Number: 223, Name: "platform-lost", Level: LevelWarn,
		Meaning: "The node can no longer follow the objects of the kind in the reason field; it goes on with what it knows.",
		Action:  "Follow the page on a platform outage.",
	}
	PlatformRegained = Event{
		Number: 224, Name: "platform-regained", Level: LevelInfo,
		Meaning: "The node follows the objects of the kind in the reason field again.",
		Action:  "None.",
	}
	ConfigAskFailed = Event{
		Number: 225, Name: "config-ask-failed", Level: LevelWarn,
		Meaning: "The node could not take a greater version of the configuration from the node in the peer field; with the reason delta it asks for the whole of it next.",
		Action:  "None, unless it repeats; then look at the link between the two hosts.",
	}
	PlatformWatch = Event{
		Number: 226, Name: "platform-watch", Level: LevelInfo,
		Meaning: "The node has begun or ceased to watch the objects of the kind in the reason field for its data centre.",
		Action:  "None. A node that does not watch hears of changes from the others.",
	}
	RecoveryEnded = Event{
		Number: 230, Name: "recovery-ended", Level: LevelInfo,
		Meaning: "The restarted node has evidence for a safe first version.",
		Action:  "None.",
	}
	RecoveryBlocked = Event{
		Number: 231, Name: "recovery-blocked", Level: LevelWarn,
		Meaning: "The restarted node has no evidence for a safe version and serves nothing.",
		Action:  "Bring the platform back, or the hosts of all but one rack.",
	}
)

var distributionEvents = []Event{
	ConfigApplied, ConfigRefused, ConfigFetchedWhole, ConfigUnwitnessed, ParentChanged, ParentSilent,
	LeaseTaken, LeaseLost, PlatformSilent, PlatformLost, PlatformRegained, ConfigAskFailed, PlatformWatch, RecoveryEnded, RecoveryBlocked,
}
