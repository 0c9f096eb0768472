package logger

// Events 400 to 499 report drains and requests.
var (
	DrainStarted = Event{
		Number: 400, Name: "drain-started", Level: LevelInfo,
		Meaning: "The node drains: requests in flight finish, and new ones are refused, at once or after a short period in which callers learn of the stop. The count field holds the number of requests in flight.",
		Action:  "Wait for the event node-stopped. A long upload may take minutes.",
	}
	DrainWouldCut = Event{
		Number: 401, Name: "drain-would-cut", Level: LevelWarn,
		Meaning: "A second stop request arrived during the drain. The count field holds the number of requests of the class that would be aborted if the node exited now.",
		Action:  "Wait. Send a third stop request only if these requests may be lost.",
	}
	DrainCut = Event{
		Number: 402, Name: "drain-cut", Level: LevelError,
		Meaning: "The node exits before its drain has ended, after a third stop request or at the drain timeout. The count field holds the number of aborted requests of the class.",
		Action:  "Expect callers to report unknown outcomes for these requests. Look them up by request id in the log of the target.",
	}
	RequestOutcomeUnknown = Event{
		Number: 410, Name: "request-outcome-unknown", Level: LevelWarn,
		Meaning: "A request that is not idempotent may have run, but its answer is lost. The caller received an answer that says so.",
		Action:  "If the caller asks, search the log of the target for the request id.",
	}
	RequestAnswered = Event{
		Number: 420, Name: "request-answered", Level: LevelInfo,
		Meaning: "The answer of a target was sent to the caller. The attempts field lists where the request was sent and why, the ms field holds its duration in milliseconds.",
		Action:  "None.",
	}
	RequestRefused = Event{
		Number: 421, Name: "request-refused", Level: LevelWarn,
		Meaning: "The request was not run by any target, and the caller received an answer that says so. The reason and attempts fields hold the cause.",
		Action:  "Look at the last attempt. The log of its host holds the load of the target at that time.",
	}
	RequestFailed = Event{
		Number: 422, Name: "request-failed", Level: LevelWarn,
		Meaning: "The request may have run, but no answer of a target was sent to the caller. The reason and attempts fields hold the cause.",
		Action:  "Search the log of the host of the last attempt for the request id.",
	}
	RequestNotAdmitted = Event{
		Number: 423, Name: "request-not-admitted", Level: LevelWarn,
		Meaning: "The node did not send a request to the target on its host. The load field holds the target's slots, running and waiting requests, or the number of request bodies that the node was receiving.",
		Action:  "None, unless the target has failed or is draining. Then see the event target-changed.",
	}
	ProcessorShort = Event{
		Number: 440, Name: "processor-short", Level: LevelWarn,
		Meaning: "The node is short of processor time and rejects requests before it spends time on them. The event is written when that begins and once a second while it lasts. The count field holds the requests rejected since the event before, the node-late-ms field how long work waits for the processor.",
		Action:  "Compare the load of this host with that of others. If many hosts are short of processor time at once, add hosts or give them more of the processor.",
	}
	ProcessorRecovered = Event{
		Number: 441, Name: "processor-recovered", Level: LevelInfo,
		Meaning: "The node has rejected no request for want of processor time for a second. The count field holds the requests rejected since the event before.",
		Action:  "None.",
	}
	FirmOverPart = Event{
		Number: 450, Name: "firm-over-part", Level: LevelInfo,
		Meaning: "Requests wait for the target on this host, and the firm has used more than its part of it. Its requests go behind those of other firms of the same priority. Refusals that follow from this have the reason firm-over-part.",
		Action:  "None: other firms keep their parts. If the firm complains, compare its requests a second with its limit.",
	}
	LongRequestsHeld = Event{
		Number: 451, Name: "long-requests-held", Level: LevelInfo,
		Meaning: "Requests of the route wait although the target on this host has a free slot. They run for longer than more urgent requests can wait, and leave room for these.",
		Action:  "None, if it ends after seconds. Otherwise the service needs more targets.",
	}
	RouteStarved = Event{
		Number: 452, Name: "route-starved", Level: LevelWarn,
		Meaning: "Less than half as many of the route's requests are started by the target on this host as of all. They go before more urgent ones until that is no longer so.",
		Action:  "Add targets, or lower the limits of the firms whose requests are more urgent.",
	}
	RequestPanicked = Event{
		Number: 425, Name: "request-panicked", Level: LevelError,
		Meaning: "A panic in the program ended a request and its connection. The stack field holds the stack trace.",
		Action:  "Report this as a bug, with the log line.",
	}
	RequestLinesSuppressed = Event{
		Number: 424, Name: "request-lines-suppressed", Level: LevelInfo,
		Meaning: "Log lines about requests were suppressed to limit the volume of the log. The count field holds their number since the previous event. Failures have a higher limit than successes.",
		Action:  "None.",
	}
	AnswerTruncated = Event{
		Number: 411, Name: "answer-truncated", Level: LevelWarn,
		Meaning: "The body of an answer was truncated. The connection to the caller was aborted, so that the answer does not look complete.",
		Action:  "Look in the peer and reason fields for a target or a node that failed.",
	}
	AnswerCrossed = Event{
		Number: 412, Name: "answer-crossed", Level: LevelError,
		Meaning: "An answer carried the id of another request. It was discarded.",
		Action:  "Take the target in the log line out of service: it returns wrong answers.",
	}
	CallFailed = Event{
		Number: 445, Name: "call-failed", Level: LevelWarn,
		Meaning: "A call that a run of the target on this host made was not answered by a target. The run probably fails, and what it has done is lost. The parent field holds the id of the request that the run serves, if it is known.",
		Action:  "Look at the reason and the attempts. If calls are refused for lack of room, the called service needs more targets.",
	}
	RunsLimited = Event{
		Number: 446, Name: "runs-limited", Level: LevelInfo,
		Meaning: "The node begins to limit the runs of its target that call the service, or ceases to. It does so while their calls wait long for slots. Requests beyond the limit are refused with the reason called-room.",
		Action:  "If this lasts, the called service needs more targets.",
	}
	AnswerBroken = Event{
		Number: 414, Name: "answer-broken", Level: LevelWarn,
		Meaning: "The target on this host sent an answer that is malformed, that does not belong to the request, or that ended early. Its connection was closed. The attempt has failed and may have run: the request is sent again if that does no harm, else its caller gets a failure, or an answer that is seen to be cut if its start was sent. The error field holds the part and what is wrong with it.",
		Action:  "Look at the target in the log line: it, or what stands between it and the node, does not follow HTTP/1.1.",
	}
	ForwardRejected = Event{
		Number: 413, Name: "forward-rejected", Level: LevelWarn,
		Meaning: "A peer sent a malformed or too large message. The stream was closed.",
		Action:  "Check that the peer runs a compatible version and is a node of this mesh.",
	}
)

var requestEvents = []Event{
	DrainStarted, DrainWouldCut, DrainCut,
	RequestOutcomeUnknown, AnswerTruncated, RequestAnswered, RequestRefused, RequestFailed, RequestNotAdmitted, RequestPanicked, RequestLinesSuppressed, AnswerCrossed, AnswerBroken, ForwardRejected,
	ProcessorShort, ProcessorRecovered, FirmOverPart, LongRequestsHeld, RouteStarved, CallFailed, RunsLimited,
}
