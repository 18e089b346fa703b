package event

import "github.com/sirupsen/logrus"

// Events of package roster.
var (
	RosterTakenOut = define(2000, logrus.InfoLevel, "daemon taken out of the list", "It did not answer this daemon for some seconds while others did; it gets no batches, and is not asked any more. If it lives, it announces itself again.")
)
