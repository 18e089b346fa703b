package event

import "github.com/sirupsen/logrus"

// Events of package waves.
var (
	WaveLeaseTaken      = define(1600, logrus.InfoLevel, "lease of weight orders taken", "This daemon brings new weight versions to the replicas.")
	WaveLeaseLost       = define(1601, logrus.InfoLevel, "lease of weight orders lost", "Another daemon holds it, or its renewal is not settled; this one gives no more orders.")
	WaveLeaseReleased   = define(1604, logrus.InfoLevel, "lease of weight orders released", "This daemon stops; the next one in line may give orders at once.")
	WaveOrder           = define(1602, logrus.InfoLevel, "weight version ordered", "A replica was told to load a version; reply is its answer.")
	WaveNamed           = define(1605, logrus.InfoLevel, "weight version named", "A trainer named the version; the daemon with the lease brings it to the replicas.")
	WaveLoaded          = define(1606, logrus.InfoLevel, "weight version loaded", "The replica was seen to run the version that it was ordered to load.")
	WaveOrderUnanswered = define(1603, logrus.InfoLevel, "order without an answer", "The replica may carry the order out now, later or not; its report decides.")
)
