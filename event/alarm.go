package event

import "github.com/sirupsen/logrus"

// Events of package alarm.
var (
	AlarmRaised         = define(1100, logrus.ErrorLevel, "alarm raised", "A service promise is broken or its budget is nearly spent. The entry contains the evidence and the remedy.")
	AlarmCleared        = define(1101, logrus.InfoLevel, "alarm cleared", "The promise has held again for long enough.")
	AlarmInForceUnknown = define(1102, logrus.WarnLevel, "in-force status unknown", "This daemon could not determine where documents are in force. This alone raises no alarm.")
)
