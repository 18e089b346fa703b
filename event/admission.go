package event

import "github.com/sirupsen/logrus"

// Events of package admission.
var (
	AdmissionDraining = define(600, logrus.InfoLevel, "admission draining", "New requests are refused as not run because the daemon stops.")
	AdmissionShedding = define(601, logrus.WarnLevel, "requests shed", "Requests were refused as not run because a queue is full or their deadline would pass; add backend servers or lower the load.")
	AdmissionLimit    = define(602, logrus.InfoLevel, "concurrency limit changed", "The adaptive limit of requests in progress of a service moved.")
)
