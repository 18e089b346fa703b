package event

import "github.com/sirupsen/logrus"

// Events of package fleet.
var (
	DocumentInForce  = define(200, logrus.InfoLevel, "document is in force", "A new version of a service's document is in force on this daemon.")
	DocumentRefused  = define(201, logrus.ErrorLevel, "document can't be put in force", "This daemon can't read a version that another daemon accepted, and keeps the previous one. Check that all daemons run the same program version.")
	DocumentAccepted = define(202, logrus.InfoLevel, "document change accepted", "An operator's change was written and is being put in force.")
	CollectorStarted = define(203, logrus.InfoLevel, "domain collector started", "This daemon watches the platform for its failure domain.")
	CollectorStopped = define(204, logrus.InfoLevel, "domain collector stopped", "Another daemon is the collector of this failure domain.")
	CollectorLost    = define(205, logrus.WarnLevel, "domain collector lost", "The stream to the collector ended; this daemon connects to another collector or reads the platform itself.")
	MemberLost       = define(206, logrus.InfoLevel, "member stream ended", "A member stopped, moved to another collector or lost its connection.")
	MemberSilent     = define(207, logrus.WarnLevel, "no reports from daemon", "No collector receives reports from the daemon; it is no longer chosen for work. Check that it runs and is reachable.")
	LeavingReported  = define(208, logrus.InfoLevel, "backend server reported leaving", "A backend server reported that it accepts no new work; all daemons stop sending it any.")
)
