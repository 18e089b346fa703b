package event

import "github.com/sirupsen/logrus"

// Events of package edge.
var (
	EdgeStarted              = define(1700, logrus.InfoLevel, "edge daemon started", "The daemon is listening; it is ready once it knows the configuration and the replicas.")
	EdgeStopped              = define(1701, logrus.InfoLevel, "edge daemon stopped", "The daemon's batches were handed over and its requests have ended.")
	EdgeConfigurationInForce = define(1702, logrus.InfoLevel, "configuration in force", "A newer version of the configuration is in force on this daemon.")
	EdgeConfigurationRefused = define(1703, logrus.ErrorLevel, "configuration is unreadable", "The previous configuration stays in force; check who wrote the object.")
	EdgeReplicaChanged       = define(1704, logrus.InfoLevel, "replica entry changed", "The replica's current entry in the store.")
	EdgeReplicaRemoved       = define(1705, logrus.InfoLevel, "replica entry removed", "The replica gets no new work.")
	EdgeEntryUnreadable      = define(1706, logrus.WarnLevel, "entry in the store is unreadable", "Another writer created the entry, or fields are missing; the other entries stay valid.")
	EdgeInstanceRetired      = define(1707, logrus.InfoLevel, "instance retirement completed", "The instance's disk holds no data that must be kept; the instance may be removed.")
	EdgeClientRefused        = define(1720, logrus.WarnLevel, "client exceeded a limit", "The connection of client at address was closed without running its request; reason is one of those of the metric refused_clients. Find the client if it repeats; raise the limits in [clients] if the client is an ordinary one.")
)
