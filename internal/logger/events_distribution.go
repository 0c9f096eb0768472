package logger

// Events 200 to 299 report how the configuration reaches the nodes.
var (
	ConfigApplied = Event{
		Number: 200, Name: "config-applied", Level: LevelInfo,
		Meaning: "The node runs a new version of the configuration.",
		Action:  "None.",
	}
	ConfigRefused = Event{
		Number: 201, Name: "config-refused", Level: LevelError,
		Meaning: "A version of the configuration cannot be read, in whole or in part, breaks a rule or does not match its digest. Nothing of it is in force: the node keeps the version that it runs.",
		Action:  "Read the error field. If many nodes report the same version, replace it by a greater one that is correct. If only some do, compare the versions of their programs. gentianctl config shows the refused version until then.",
	}
	ConfigFetchedWhole = Event{
		Number: 202, Name: "config-fetched-whole", Level: LevelInfo,
		Meaning: "A delta could not be applied. The node requests the whole snapshot.",
		Action:  "None, unless it repeats. Then look for nodes that run different versions of the program.",
	}
	ConfigUnwitnessed = Event{
		Number: 203, Name: "config-unwitnessed", Level: LevelWarn,
		Meaning: "A version is not applied yet because too few nodes on other racks have recorded it.",
		Action:  "Look for racks or links that are down. The node keeps the version that it runs.",
	}
	ParentChanged = Event{
		Number: 210, Name: "parent-changed", Level: LevelInfo,
		Meaning: "The node receives the configuration from another parent.",
		Action:  "None, unless nodes leave the same parent repeatedly.",
	}
	ParentSilent = Event{
		Number: 211, Name: "parent-silent", Level: LevelWarn,
		Meaning: "The parent missed its heartbeats. The node looks for another one.",
		Action:  "Check the host of the parent and the link to it.",
	}
	LeaseTaken = Event{
		Number: 220, Name: "lease-taken", Level: LevelInfo,
		Meaning: "The node holds a relay slot and watches the platform for its data centre.",
		Action:  "None.",
	}
	LeaseLost = Event{
		Number: 221, Name: "lease-lost", Level: LevelInfo,
		Meaning: "The node no longer holds its relay slot.",
		Action:  "None. Another node takes the slot. If all slots stay empty, check the platform.",
	}
	PlatformSilent = Event{
		Number: 222, Name: "platform-silent", Level: LevelWarn,
		Meaning: "A relay could not reach the platform. It retries later.",
		Action:  "Follow the documentation page on platform outages.",
	}
	PlatformLost = Event{
		Number: 223, Name: "platform-lost", Level: LevelWarn,
		Meaning: "The node can no longer read the objects of the kind in the reason field. It goes on with the last known ones.",
		Action:  "Follow the documentation page on platform outages.",
	}
	PlatformRegained = Event{
		Number: 224, Name: "platform-regained", Level: LevelInfo,
		Meaning: "The node reads the objects of the kind in the reason field again.",
		Action:  "None.",
	}
	ConfigAskFailed = Event{
		Number: 225, Name: "config-ask-failed", Level: LevelWarn,
		Meaning: "The node could not fetch a higher version of the configuration from the node in the peer field. If the reason is delta, it requests the whole snapshot next.",
		Action:  "None, unless it repeats. Then check the link between the two hosts.",
	}
	PlatformWatch = Event{
		Number: 226, Name: "platform-watch", Level: LevelInfo,
		Meaning: "The node has started or stopped watching the objects of the kind in the reason field for its data centre, or has read them once because no other node of it had read them in time.",
		Action:  "None. A node that does not watch learns of changes from other nodes. If nodes often read once, look for nodes that stand still or for a slow platform.",
	}
	PlatformRestored = Event{
		Number: 227, Name: "platform-restored", Level: LevelWarn,
		Meaning: "The platform was restored from a copy, so what was written after the copy was made is gone until it is written again. The reason field holds the kind of objects that were followed, the count field the new era.",
		Action:  "Check with gentianctl that the version in force is the one that was accepted last. A node does not go back to an earlier version.",
	}
	PlatformScanned = Event{
		Number: 228, Name: "platform-scanned", Level: LevelInfo,
		Meaning: "All objects of the kind in the reason field were read again, because their changes could not be followed further. The count field holds their number.",
		Action:  "None.",
	}
	RecoveryEnded = Event{
		Number: 230, Name: "recovery-ended", Level: LevelInfo,
		Meaning: "The restarted node has determined the minimum version of the configuration that it may run.",
		Action:  "None.",
	}
	RecoveryBlocked = Event{
		Number: 231, Name: "recovery-blocked", Level: LevelWarn,
		Meaning: "The restarted node cannot determine the minimum version of the configuration that it may run. It serves no requests.",
		Action:  "Restore the platform, or the hosts of all racks but one.",
	}
)

var distributionEvents = []Event{
	ConfigApplied, ConfigRefused, ConfigFetchedWhole, ConfigUnwitnessed, ParentChanged, ParentSilent,
	LeaseTaken, LeaseLost, PlatformSilent, PlatformLost, PlatformRegained, ConfigAskFailed, PlatformWatch, PlatformRestored, PlatformScanned,
	RecoveryEnded, RecoveryBlocked,
}
