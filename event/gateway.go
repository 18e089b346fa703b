package event

import "github.com/sirupsen/logrus"

// Events of package gateway.
var (
	GatewayFailed      = define(1400, logrus.WarnLevel, "request ended without a replica's answer", "The error names the last cause; not_run is told to the caller only if no replica ran the request. The counts tell which filter left no replica.")
	GatewayShed        = define(1401, logrus.InfoLevel, "replica refused a request", "The replica was full or leaving and ran nothing; another one is tried.")
	GatewayStreamBroke = define(1402, logrus.WarnLevel, "stream broke off", "The replica's stream ended early; the caller's connection is closed so that it can resume.")
	GatewayPlaced      = define(1403, logrus.InfoLevel, "request placed", "An attempt goes to the replica. listed, able, trusted and free count the replicas after each filter; load of its slots is that of the replica, load_age_ms the age of its report (-1: none).")
	GatewayTried       = define(1404, logrus.InfoLevel, "attempt failed", "The replica gave no usable answer; the request goes on elsewhere if it may be repeated and attempts are left.")
	GatewayAnswered    = define(1405, logrus.InfoLevel, "request answered", "The replica's answer was passed on.")
	GatewayLeft        = define(1406, logrus.InfoLevel, "caller left", "The caller closed its connection before its answer was there; the attempt was canceled.")
)
