package event

import "github.com/sirupsen/logrus"

// Events of package mirror.
var (
	MirrorStoreLost      = define(1300, logrus.WarnLevel, "platform store unreachable", "The store does not respond to this daemon, which receives the configuration and the replicas from peers until the store responds.")
	MirrorStoreRegained  = define(1301, logrus.InfoLevel, "platform store reachable again", "The store responds again.")
	MirrorHistoryExpired = define(1302, logrus.InfoLevel, "store history expired", "The kind is listed again; no data is lost.")
	MirrorRoleChanged    = define(1303, logrus.InfoLevel, "store watch role changed", "watches is all on the first collector, urgent on the other collectors and on a daemon that finds no peer with a fresh copy, and nothing on a daemon that receives changes from a collector.")
	MirrorProofFailed    = define(1304, logrus.InfoLevel, "proof of freshness not renewed", "The store did not respond to the read of the object; it is read again. Requests with an API key are refused once the last proof is older than the withdrawal time.")
)
