package event

import "github.com/sirupsen/logrus"

// Events of package waves.
var (
	WaveLeaseTaken           = define(1600, logrus.InfoLevel, "weight order lease acquired", "This daemon orders replicas to load new weight versions.")
	WaveLeaseLost            = define(1601, logrus.InfoLevel, "weight order lease lost", "Another daemon holds the lease, or its renewal could not be confirmed; this daemon sends no more orders.")
	WaveLeaseReleased        = define(1604, logrus.InfoLevel, "weight order lease released", "This daemon is stopping; the next daemon in line may send orders at once.")
	WaveOrderSent            = define(1602, logrus.InfoLevel, "weight version ordered", "A replica was ordered to load a version; reply is its response.")
	WaveVersionAnnounced     = define(1605, logrus.InfoLevel, "weight version announced", "A trainer announced the version; the daemon that holds the lease orders the replicas to load it.")
	WaveVersionLoaded        = define(1606, logrus.InfoLevel, "weight version loaded", "The replica reports the version that it was ordered to load.")
	WaveOrderResponseMissing = define(1603, logrus.InfoLevel, "weight order without a response", "The replica may carry out the order now, later or never; its report decides.")
)
