package alarm

// Promises returns all promises in the order in which they are documented.
func Promises() []Promise {
	return []Promise{
		VersionTags, StalenessBound, ExactlyOnce, CompleteResponses, NotRun,
		AtMostOnce, LeavingServers, PlannedStop, InForce, StepsInTime,
		AnsweredInTime,
	}
}

// RemedyFor returns what an operator should do about a broken promise.
func RemedyFor(p Promise) string {
	switch p {
	case VersionTags:
		return "take the replica out of the pool: its engine names no weight version; samples were generated again"
	case StalenessBound:
		return "raise samples.staleness_bound, ask for fewer samples a step, or publish weights less often"
	case ExactlyOnce:
		return "stop the trainer, compare its sample ids with the step's, and open a new session"
	case CompleteResponses:
		return "look for the replica named in the evidence: its responses are truncated or belong to other requests"
	case NotRun:
		return "treat the named requests as unknown and check their effect on the backend server"
	case AtMostOnce:
		return "check the effect of the named request on the backend server and undo the second run"
	case LeavingServers:
		return "look at the named server in the dump: it still gets work after servers.leave_bound"
	case PlannedStop:
		return "raise servers.drain_time of the service or daemon.drain_time above the longest deadline"
	case InForce:
		return "look at the daemons that status lists as behind, and restart those that do not catch up"
	case AnsweredInTime:
		return "add backend servers, raise requests.deadline, or lower the limits of the teams that send most"
	case StepsInTime:
		return "look at the step in the dump: add replicas, lower max_tokens or raise samples.step_time"
	}
	return "see the evidence"
}
