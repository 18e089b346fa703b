package event

import "github.com/sirupsen/logrus"

// Events of package routing.
var (
	ReplicaFailing   = define(500, logrus.WarnLevel, "replica failing", "Requests or polls failed and a fresh connection failed too; the replica gets no work until a probe succeeds.")
	ReplicaRecovered = define(501, logrus.InfoLevel, "replica recovered", "A probe of a failing replica succeeded and it takes work again.")
	ReplicaLeaving   = define(502, logrus.InfoLevel, "replica leaving", "The server itself said that it takes no new work.")
	ReplicaSlow      = define(503, logrus.WarnLevel, "replica slow", "The replica is several times slower than its pool and gets little work; check its instance.")
	ReplicaNormal    = define(504, logrus.InfoLevel, "replica normal", "The replica is about as fast as its pool again.")
	ReplicaSuspended = define(505, logrus.InfoLevel, "replica suspended", "The replica takes no sample work until it reports one whole weight version.")
	ReplicaResumed   = define(506, logrus.InfoLevel, "replica resumed", "The replica reports one whole weight version and takes sample work again.")
)
