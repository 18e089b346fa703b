package event

import "github.com/sirupsen/logrus"

// Events of package fleet.
var (
	DocumentInForce  = define(200, logrus.InfoLevel, "document is in force", "A new version of a service's document is in force on this daemon.")
	DocumentRefused  = define(201, logrus.ErrorLevel, "document can't be put in force", "This daemon can't read a version that another one accepted and keeps the older one; check that all daemons run the same program version.")
	DocumentAccepted = define(202, logrus.InfoLevel, "document change accepted", "An operator's change was written and is being put in force.")
)
