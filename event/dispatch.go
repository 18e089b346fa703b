package event

import "github.com/sirupsen/logrus"

// Events of package dispatch.
var (
	RequestFailed    = define(800, logrus.DebugLevel, "request failed", "A request ended with an error; its outcome says whether it may have run.")
	RequestRetried   = define(801, logrus.DebugLevel, "request retried", "An idempotent request is tried on another replica.")
	AnswerRejected   = define(802, logrus.WarnLevel, "answer rejected", "A backend server's answer was truncated, crossed with another or untagged and was not passed on as whole.")
	RetriesExhausted = define(803, logrus.InfoLevel, "retry budget spent", "Retries are held back because their share of the live requests is used up.")
)
