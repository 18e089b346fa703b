package event

import "github.com/sirupsen/logrus"

// Events of package backend.
var (
	BackendStalled    = define(400, logrus.WarnLevel, "backend server connection stalled", "The connection and the idle connections to the same server were closed; the next request opens a new one.")
	BackendMismatched = define(401, logrus.ErrorLevel, "backend server returned the response to a different request", "The response was discarded and its connection closed. Look for a fault in the server or in a proxy in front of it.")
)
