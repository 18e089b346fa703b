package event

import "github.com/sirupsen/logrus"

// Events of package daemon.
var (
	DaemonStarted           = define(100, logrus.InfoLevel, "daemon started", "The daemon is listening and accepts work.")
	DaemonStopped           = define(101, logrus.InfoLevel, "daemon stopped", "All requests in flight have ended and the daemon exits.")
	DaemonDraining          = define(102, logrus.InfoLevel, "daemon draining", "A stop was requested: the health check fails, new work is refused with outcome not_run, and requests in flight may finish.")
	DaemonDrainTimeExceeded = define(103, logrus.WarnLevel, "requests cut at the end of the drain time", "Requests in flight took longer than daemon.drain_time and servers.drain_time of the documents. Increase one of them, or lower the deadlines of the services. A process on the users' platform answers such requests with status 502, or 503 if no replica ran them; it has stop_time for a stop.")
	DaemonIsolated          = define(104, logrus.ErrorLevel, "daemon isolated", "Neither the platform nor any peer responds. New work is refused with outcome not_run and the health check fails. Check the network of this instance.")
	DaemonReconnected       = define(105, logrus.InfoLevel, "daemon no longer isolated", "The platform or a peer responds again; the daemon accepts work.")
	DaemonModuleFailed      = define(106, logrus.ErrorLevel, "module failed", "A module of the daemon stopped with an error; the daemon drains and exits with status 1. Report the error.")
	DaemonDump              = define(107, logrus.InfoLevel, "state dump", "The state of every module, requested by SIGUSR1.")
	DaemonDocumentRefused   = define(109, logrus.InfoLevel, "document refused", "An operator's document was not written; the error contains the remedy.")
	DaemonRequestEnded      = define(110, logrus.DebugLevel, "request ended", "One HTTP request with its ID, path and duration.")
	DaemonPanic             = define(111, logrus.ErrorLevel, "request handler panicked", "This is a defect of this program; the request ended with kind internal. Report the stack.")
)

// WorkPanicked is written by Guard.
var WorkPanicked = define(113, logrus.ErrorLevel, "work panicked", "One piece of work, such as a batch item or a call to another daemon, failed by a defect of this program; the daemon and its other work continue. Report the stack.")

// LogDropped is written by AsyncWriter.
var LogDropped = define(112, logrus.WarnLevel, "log entries dropped", "The reader of the log is slower than the daemon writes; dropped is the number of lost entries.")
