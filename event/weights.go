package event

import "github.com/sirupsen/logrus"

// Events of package weights.
var (
	WeightsLeaseTaken     = define(1000, logrus.InfoLevel, "weights lease acquired", "This daemon orders weight swaps for the pool.")
	WeightsLeaseLost      = define(1001, logrus.WarnLevel, "weights lease lost", "Another daemon may order weight swaps for the pool; this daemon stopped.")
	WeightsPublished      = define(1002, logrus.InfoLevel, "weight version published", "The weight store has a newer version; staging begins.")
	WeightsStageFailed    = define(1003, logrus.WarnLevel, "weight staging failed", "A replica did not stage the version; staging is retried at the next poll.")
	WeightsActivated      = define(1004, logrus.InfoLevel, "weight version activated", "The wave over the pool ended; the fields count the replicas.")
	WeightsReplicaPartial = define(1005, logrus.WarnLevel, "weight swap incomplete", "The replica gets no sample work until it reports one complete version.")
	WeightsOrderFenced    = define(1006, logrus.WarnLevel, "order refused by fencing token", "A newer lease holder sent orders; this daemon released its lease.")
)
