package organisation

import "time"

const (
	// withdrawalMargin is subtracted from the withdrawal time, for differences between clock rates and
	// the time between the decision and the start of the request.
	withdrawalMargin = 200 * time.Millisecond
	// maxDenialAge is the age of the configuration up to which an unknown key counts as unknown
	// everywhere. Updates reach a daemon that is in contact within two seconds.
	maxDenialAge = 2500 * time.Millisecond
	// unprovenRetryDelay is sent to callers of a daemon that can't prove its configuration to be the
	// newest. Their next attempt reaches another daemon.
	unprovenRetryDelay = 300 * time.Millisecond
)

type verdict int

const (
	admitted     verdict = iota
	unauthorized         // no configuration that may be in force holds the key
	unproven             // the configuration may be outdated
)

// decide decides on a request with an API key, given whether the configuration holds the key and how
// long ago that configuration was the newest for certain. Failure: a daemon is cut off from the store
// while keys are withdrawn or added. A withdrawn key must not be accepted for longer than
// withdrawalTime (0: no such bound), and a new key must not be called unknown.
func decide(known bool, age, withdrawalTime time.Duration) verdict {
	switch {
	case known && withdrawalTime > 0 && age > withdrawalTime-withdrawalMargin:
		return unproven
	case known:
		return admitted
	case age > maxDenialAge:
		return unproven
	}
	return unauthorized
}
