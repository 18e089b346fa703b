package event

import "github.com/sirupsen/logrus"

// Events of package gateway.
var (
	GatewayFailed             = define(1400, logrus.WarnLevel, "request ended without a replica's response", "The error is the last cause; the caller receives not_run only if no replica ran the request. The counts show which filter left no replica.")
	GatewayReplicaRefused     = define(1401, logrus.InfoLevel, "replica refused a request", "The replica was full or leaving and did not run the request; another replica is tried.")
	GatewayStreamBroke        = define(1402, logrus.WarnLevel, "stream broke off", "The replica's stream ended early; the caller's connection is closed so that the caller can resume.")
	GatewayPlaced             = define(1403, logrus.InfoLevel, "request placed", "An attempt is sent to the replica. listed, able, trusted and free count the replicas that remain after each filter; load of slots is the load of the chosen replica, and load_age_ms is the age of its load report (-1: none).")
	GatewayAttemptFailed      = define(1404, logrus.InfoLevel, "attempt failed", "The replica returned no usable response; the request continues on another replica if it may be repeated and attempts are left.")
	GatewayResponseForwarded  = define(1405, logrus.InfoLevel, "response forwarded", "The replica's response was forwarded to the caller.")
	GatewayConnectionBroke    = define(1407, logrus.WarnLevel, "connection broke during a request", "The replica closed the connection after it received the request; it may have ended. fingerprint is the same for requests with the same method, host, path and body; caller is the address of the connection: one that ends several replicas should be corrected by its caller. sends is the number of connections to which the request was written.")
	GatewayCallerDisconnected = define(1406, logrus.InfoLevel, "caller disconnected", "The caller closed its connection before the response was available; the attempt was canceled.")
)
