package event

import "github.com/sirupsen/logrus"

// Events of package alarm.
var (
	AlarmRaised       = define(1100, logrus.ErrorLevel, "alarm raised", "A promise was broken or its budget is about to be. The entry has the evidence and the remedy.")
	AlarmCleared      = define(1101, logrus.InfoLevel, "alarm cleared", "The promise held again for long enough.")
	AlarmStatusFailed = define(1102, logrus.WarnLevel, "in-force status not known", "This daemon could not find out where documents are in force; no alarm follows from that alone.")
)
