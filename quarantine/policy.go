package quarantine

import "time"

const (
	// maxCrashes is the number of replicas that may crash under a request before it is quarantined.
	maxCrashes = 3
	// suspectCrashes is the number of crashes from which on a request waits for suspectDelay after the
	// last one, and is not sent to the last healthy replica of its service. After that time a replica
	// that ended is usually back, and known to all daemons.
	suspectCrashes = 2
	suspectDelay   = 3 * time.Second
)

// Verdict is whether a request may be sent to a replica.
type Verdict int

// Values of Verdict.
const (
	Allowed     Verdict = iota
	Postponed           // may be sent later, when more replicas are healthy
	Quarantined         // may not be sent any more
)

// Judge decides whether a request may be sent to another replica after the given number of replicas
// crashed under it, the last one sinceLast ago. healthy and listed count the replicas of its service;
// those that crashed under it are not healthy. Load pattern: a request ends each replica that begins to
// run it, and comes again at any daemon every few seconds. Without a limit the service is down for all
// callers most of the time. A request in flight beside such a one meets a crash too, but seldom three,
// and its next response clears it. A service of one replica has no other to spare.
func Judge(crashes int, sinceLast time.Duration, healthy, listed int) Verdict {
	switch {
	case crashes >= maxCrashes:
		return Quarantined
	case crashes >= suspectCrashes && listed > 1 && (healthy <= 1 || sinceLast < suspectDelay):
		return Postponed
	}
	return Allowed
}
