package roster

const (
	// goneRounds is how many rounds in a row a daemon must not be reached; a restart and
	// most suspensions are shorter.
	goneRounds = 6
	// leastReached is how many other daemons must answer meanwhile.
	leastReached = 2
)

// isGone decides whether a daemon is taken out of the list. Load pattern: instances are replaced
// by others at new addresses; each daemon that is asked for something by a caller would find out
// for itself, and wait for a connection in vain, that one of them is gone. A daemon that reaches
// hardly anyone is cut off itself and takes nobody out. One that was taken out wrongly
// announces itself again.
func isGone(missedRounds, reachedOthers int) bool {
	return missedRounds >= goneRounds && reachedOthers >= leastReached
}
