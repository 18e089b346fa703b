package event

import "github.com/sirupsen/logrus"

// Events of package gateway.
var (
	GatewayFailed      = define(1400, logrus.InfoLevel, "request ended without a replica's answer", "The error names the last cause; not_run is told to the caller only if no replica ran the request.")
	GatewayShed        = define(1401, logrus.DebugLevel, "replica refused a request", "The replica was full or leaving and ran nothing; another one is tried.")
	GatewayStreamBroke = define(1402, logrus.InfoLevel, "stream broke off", "The replica's stream ended early; the caller's connection is closed so that it can resume.")
)
