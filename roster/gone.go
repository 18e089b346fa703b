package roster

const (
	// minFailedRounds is how many consecutive rounds a daemon must be unreachable before it is
	// removed; a restart and most suspensions are shorter.
	minFailedRounds = 6
	// minReachable is how many other daemons must respond in the meantime.
	minReachable = 2
)

// shouldRemove decides whether a daemon is removed from the list. Load pattern: instances are
// replaced by others at new addresses. Without removal, each daemon that handles a call would
// find out on its own that an old address is dead, by waiting for a connection until the timeout.
// A daemon that reaches fewer than minReachable others is probably isolated itself and removes
// none. A daemon that was removed by mistake announces itself again.
func shouldRemove(failedRounds, reachable int) bool {
	return failedRounds >= minFailedRounds && reachable >= minReachable
}
