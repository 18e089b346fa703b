package event

import "github.com/sirupsen/logrus"

// Events of package quarantine.
var (
	RequestSuspected   = define(2200, logrus.InfoLevel, "replica crashed under a request", "The connection to the replica broke while the request was in flight there, and the replica accepted no connection right after; crashes is the number of replicas to which that happened. A request in flight beside the one that crashes a replica is counted too, until a replica responds to it.")
	RequestQuarantined = define(2201, logrus.ErrorLevel, "request quarantined", "Three replicas crashed under requests with this fingerprint: the same method, host, path and body. No daemon sends it to a replica for 15 minutes. Correct the request or the replicas; event 1407 with the fingerprint names the addresses from which it came.")
	RequestCleared     = define(2202, logrus.InfoLevel, "request no longer suspected", "A replica responded to the request, so that it did not cause the crashes.")
	RequestRefused     = define(2203, logrus.InfoLevel, "suspected request refused", "The request was not sent to a replica: it is quarantined, or two replicas crashed under it and only one is left for other callers.")
	RequestNotExamined = define(2205, logrus.WarnLevel, "broken connection not examined", "Too many connections to replicas broke at once to find out whether the replicas ended; the crash, if it was one, is not counted.")
	RecordNotKept      = define(2204, logrus.WarnLevel, "quarantine not stored", "The store did not take the record of a quarantined request. All daemons know it, but if all of them restart before the next attempt succeeds they forget it.")
)
