package event

import "github.com/sirupsen/logrus"

// Events of package platform.
var (
	PlatformRateLimited       = define(300, logrus.WarnLevel, "platform call refused by the rate limit", "This daemon calls the platform more often than read_rate or write_rate in [platform] allows.")
	PlatformResponseLost      = define(301, logrus.WarnLevel, "response to a platform write was lost", "The daemon reads the object back to determine whether the write took effect. No action is needed unless this repeats.")
	PlatformCallTimedOut      = define(302, logrus.WarnLevel, "platform call timed out", "The idle connections are closed and the next call opens a new one.")
	PlatformObjectUnreadable  = define(305, logrus.ErrorLevel, "object of the store is unreadable", "The object is passed over and counts as deleted; all others are read. Its metadata is malformed: check who wrote it and write it again. Logged once for each object.")
	PlatformRequestRefused    = define(304, logrus.WarnLevel, "request refused", "The caller or trainer received this status instead of a result; 503 guarantees that nothing ran. The error is the cause; earlier entries of the same request may have details.")
	PlatformWatchUnresponsive = define(303, logrus.WarnLevel, "platform watch unresponsive", "The watch is closed and restarted on a new connection.")
)
