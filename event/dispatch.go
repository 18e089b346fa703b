package event

import "github.com/sirupsen/logrus"

// Events of package dispatch.
var (
	RequestFailed        = define(800, logrus.DebugLevel, "request failed", "A request ended with an error; its outcome says whether it may have run.")
	RequestRetried       = define(801, logrus.DebugLevel, "request retried", "The request is retried on another replica.")
	ResponseRejected     = define(802, logrus.WarnLevel, "response rejected", "A backend server's response was truncated, belonged to another request or was untagged, and was not returned as complete.")
	RetryBudgetExhausted = define(803, logrus.InfoLevel, "retry budget exhausted", "The request is not retried because retries have used up their share of the live requests.")
)
