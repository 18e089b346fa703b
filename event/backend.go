package event

import "github.com/sirupsen/logrus"

// Events of package backend.
var (
	BackendStalled    = define(400, logrus.WarnLevel, "backend server connection made no progress", "The connection and the idle ones to the same server were closed; the next request uses a fresh one.")
	BackendMismatched = define(401, logrus.ErrorLevel, "backend server answered another request", "The answer was discarded and its connection closed. Look for a fault in the server or in a proxy before it.")
)
