package event

import "github.com/sirupsen/logrus"

// Events of package duty.
var (
	DutyReportSent      = define(2500, logrus.InfoLevel, "usage report sent", "The platform's API answered the report of the window; reply is its answer, and delay_ms the time since the window's end.")
	DutyReportNoAnswer  = define(2501, logrus.WarnLevel, "usage report without an answer", "The platform's API may have accepted the report of the window or may still accept it. The same report is sent again. Check the API at address of [duties] if this repeats.")
	DutyReportGivenUp   = define(2502, logrus.ErrorLevel, "usage report given up", "The platform's API did not accept the report of the window within a minute of the window's end. Check the API at address of [duties].")
	DutyReportNotStored = define(2503, logrus.WarnLevel, "usage report not stored", "The store did not take the reports, or another daemon stored them first. Nothing new is sent until the store responds; the windows are caught up afterwards.")
	DutyTotalMissing    = define(2504, logrus.WarnLevel, "usage of a window is unknown", "The daemons that keep the counts did not return the total of the window; it is requested again.")
	DutyReplicasOrdered = define(2505, logrus.InfoLevel, "replicas ordered", "The platform was asked for count replicas of the service in the failure domain. fenced means that there are none to give now, or that a newer holder exists; the order is tried again.")
)
