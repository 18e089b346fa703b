package event

import "github.com/sirupsen/logrus"

// Events of package roster.
var (
	RosterMemberRemoved = define(2000, logrus.InfoLevel, "daemon removed from the member list", "The daemon did not respond to this daemon for some seconds while others did; it gets no batches and is not called any more. If it is still running, it announces itself again.")
)
