package event

import "github.com/sirupsen/logrus"

// Events of package routing.
var (
	ReplicaUnhealthy = define(500, logrus.WarnLevel, "replica unhealthy", "Requests or polls failed, and so did a new connection; the replica gets no work until a probe succeeds.")
	ReplicaRecovered = define(501, logrus.InfoLevel, "replica recovered", "A probe of the unhealthy replica succeeded; it accepts work again.")
	ReplicaLeaving   = define(502, logrus.InfoLevel, "replica leaving", "The server reported that it accepts no new work.")
	ReplicaSlow      = define(503, logrus.WarnLevel, "replica slow", "The replica is several times slower than its pool and gets little work; check its instance.")
	ReplicaNotSlow   = define(504, logrus.InfoLevel, "replica no longer slow", "The replica is about as fast as its pool again.")
	ReplicaSuspended = define(505, logrus.InfoLevel, "replica suspended", "The replica gets no sample work until it reports one complete weight version.")
	ReplicaResumed   = define(506, logrus.InfoLevel, "replica resumed", "The replica reports one complete weight version and gets sample work again.")
)
