package event

import "github.com/sirupsen/logrus"

// Events of package daemon.
var (
	DaemonStarted      = define(100, logrus.InfoLevel, "daemon started", "The daemon listens and takes work.")
	DaemonStopped      = define(101, logrus.InfoLevel, "daemon stopped", "All requests in progress ended and the daemon exits.")
	DaemonDraining     = define(102, logrus.InfoLevel, "daemon draining", "A stop was asked for: the health check fails, new work is refused as not run, requests in progress may end.")
	DaemonDrainCut     = define(103, logrus.WarnLevel, "requests cut at the end of the drain time", "Requests in progress took longer than daemon.drain_time and servers.drain_time of the documents. Raise one of them, or lower the deadlines of the services.")
	DaemonIsolated     = define(104, logrus.ErrorLevel, "daemon isolated", "Neither the platform nor any peer answers. New work is refused as not run and the health check fails. Check the network of this instance.")
	DaemonReconnected  = define(105, logrus.InfoLevel, "daemon no longer isolated", "The platform or a peer answers again; work is taken.")
	DaemonModuleFailed = define(106, logrus.ErrorLevel, "module ended with an error", "A module of the daemon stopped; the daemon drains and exits with 1. Report the error.")
	DaemonDump         = define(107, logrus.InfoLevel, "state dump", "The state of every module, asked for by SIGUSR1.")
	DaemonRefused      = define(109, logrus.InfoLevel, "document refused", "An operator's document was not written; the error names the remedy.")
	DaemonRequest      = define(110, logrus.DebugLevel, "request ended", "One HTTP request with its id, status and duration.")
	DaemonPanic        = define(111, logrus.ErrorLevel, "request handler panicked", "A defect of this program; the request ended with kind internal. Report the stack.")
)

// LogDropped is written by AsyncWriter.
var LogDropped = define(112, logrus.WarnLevel, "log entries dropped", "The reader of the log is slower than the daemon writes; that many entries are lost.")
