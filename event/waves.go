package event

import "github.com/sirupsen/logrus"

// Events of package waves. The numbers 1600, 1601 and 1604 belonged to its lease, whose events are
// now 2300 to 2302 with the key leases/weights; they are not used again.
var (
	WaveOrderSent            = define(1602, logrus.InfoLevel, "weight version ordered", "A replica was ordered to load a version; reply is its response.")
	WaveVersionAnnounced     = define(1605, logrus.InfoLevel, "weight version announced", "A trainer announced the version; the daemon that holds the lease orders the replicas to load it.")
	WaveVersionLoaded        = define(1606, logrus.InfoLevel, "weight version loaded", "The replica reports the version that it was ordered to load.")
	WaveOrderResponseMissing = define(1603, logrus.InfoLevel, "weight order without a response", "The replica may carry out the order now, later or never; its report decides.")
)
