package event

import "github.com/sirupsen/logrus"

// Events of package admission.
var (
	AdmissionDraining     = define(600, logrus.InfoLevel, "admission draining", "The daemon is stopping and refuses new requests with outcome not_run.")
	AdmissionShedding     = define(601, logrus.WarnLevel, "requests shed", "Requests were refused with outcome not_run because a queue is full or their deadline would pass in it. Add backend servers or reduce the load.")
	AdmissionLimitChanged = define(602, logrus.InfoLevel, "concurrency limit changed", "The adaptive limit of a service's requests in flight changed.")
)
