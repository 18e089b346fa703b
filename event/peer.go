package event

import "github.com/sirupsen/logrus"

// Events of package peer.
var (
	PeerUnresponsive    = define(1200, logrus.WarnLevel, "peer connection unresponsive", "The connection is closed and the next call opens a new one. If this repeats, check the network between the two daemons.")
	PeerConnectionEnded = define(1201, logrus.DebugLevel, "peer connection ended", "Another daemon closed its connection or stopped.")
	PeerHandlerPanicked = define(1202, logrus.ErrorLevel, "handler of a peer's call panicked", "The call failed and the daemon continues. This is a defect: report it with the stack.")
)
