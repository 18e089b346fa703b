package event

import "github.com/sirupsen/logrus"

// Events of package platform.
var (
	PlatformLimited     = define(300, logrus.WarnLevel, "platform call refused by the rate limit", "This daemon calls the platform more often than read_rate or write_rate in [platform] allow.")
	PlatformAnswerLost  = define(301, logrus.WarnLevel, "answer to a platform write was lost", "The write is settled by reading the object back; no action is needed unless it repeats.")
	PlatformSilent      = define(302, logrus.WarnLevel, "platform call got no answer in time", "The kept connections are closed and the next call opens a fresh one.")
	PlatformRefused     = define(304, logrus.WarnLevel, "request refused", "What a caller or trainer was told instead of an answer; 503 promises that nothing ran. The error names the cause; an entry of the request before it may tell more.")
	PlatformWatchSilent = define(303, logrus.WarnLevel, "platform watch went silent", "The watch is closed and opened again on a fresh connection.")
)
