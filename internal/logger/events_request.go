package logger

// Events 400 to 499.
var (
	DrainStarted = Event{
		Number: 400, Name: "drain-started", Level: LevelInfo,
		Meaning: "The node takes no new request and lets those in flight finish; count says how many there are.",
		Action:  "Wait for node-stopped. A long upload may take minutes.",
	}
	DrainWouldCut = Event{
		Number: 401, Name: "drain-would-cut", Level: LevelWarn,
		Meaning: "A second stop request came while the node drains; count requests of the class would be cut if it ended now.",
		Action:  "Wait. Send a third stop request only if these requests may be lost.",
	}
	DrainCut = Event{
		Number: 402, Name: "drain-cut", Level: LevelError,
		Meaning: "The node ended with requests in flight, at a third stop request or at the drain deadline.",
		Action:  "Expect callers to report unknown outcomes of these requests; look them up by request id at the target.",
	}
	RequestOutcomeUnknown = Event{
		Number: 410, Name: "request-outcome-unknown", Level: LevelWarn,
		Meaning: "A request that is not idempotent may have run, and its answer is lost; the caller was told so.",
		Action:  "If the caller asks, search the target's own log for the request id.",
	}
	RequestAnswered = Event{
		Number: 420, Name: "request-answered", Level: LevelInfo,
		Meaning: "A target's answer went to the caller; attempts tells where the request was sent and why, ms how long it took.",
		Action:  "None.",
	}
	RequestRefused = Event{
		Number: 421, Name: "request-refused", Level: LevelWarn,
		Meaning: "The request has run at no target, and the caller was told so; reason and attempts tell why.",
		Action:  "Look at the last attempt: its host's log has the load of the target at that time.",
	}
	RequestFailed = Event{
		Number: 422, Name: "request-failed", Level: LevelWarn,
		Meaning: "The request may have run, and no answer of a target went to the caller; reason and attempts tell why.",
		Action:  "Search the log of the host of the last attempt for the request id.",
	}
	RequestNotAdmitted = Event{
		Number: 423, Name: "request-not-admitted", Level: LevelWarn,
		Meaning: "This node did not give the request to the target on its host; load tells the target's slots, running and waiting requests, or how many bodies this node was taking in.",
		Action:  "None, unless the target is failed or draining: then see target-changed.",
	}
	RequestPanicked = Event{
		Number: 425, Name: "request-panicked", Level: LevelError,
		Meaning: "A fault of the program ended a request and its connection; stack tells where.",
		Action:  "Report it with this line.",
	}
	RequestLinesSuppressed = Event{
		Number: 424, Name: "request-lines-suppressed", Level: LevelInfo,
		Meaning: "So many lines on requests were left out since the last such event, to bound the volume; failures are left out last.",
		Action:  "None.",
	}
	AnswerTruncated = Event{
		Number: 411, Name: "answer-truncated", Level: LevelWarn,
		Meaning: "An answer ended before its end; the caller's connection was aborted so that it cannot look complete.",
		Action:  "Look for a failed target or node in the peer and reason fields.",
	}
	AnswerCrossed = Event{
		Number: 412, Name: "answer-crossed", Level: LevelError,
		Meaning: "An answer carried the id of another request and was discarded.",
		Action:  "Take the named target out of service: it mixes up answers.",
	}
	ForwardRejected = Event{
		Number: 413, Name: "forward-rejected", Level: LevelWarn,
		Meaning: "A peer sent a message that is malformed or too large; the stream was ended.",
		Action:  "Check that the peer runs a compatible version and is a node of this mesh.",
	}
)

var requestEvents = []Event{
	DrainStarted, DrainWouldCut, DrainCut,
	RequestOutcomeUnknown, AnswerTruncated, RequestAnswered, RequestRefused, RequestFailed, RequestNotAdmitted, RequestPanicked, RequestLinesSuppressed, AnswerCrossed, ForwardRejected,
}
