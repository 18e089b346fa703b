package event

import "github.com/sirupsen/logrus"

// Events of package mirror.
var (
	MirrorStoreLost     = define(1300, logrus.WarnLevel, "platform's store lost", "The store does not answer this daemon; configuration and replicas come from peers until it does.")
	MirrorStoreRegained = define(1301, logrus.InfoLevel, "platform's store regained", "The store answers again.")
	MirrorHistoryGone   = define(1302, logrus.InfoLevel, "history of the store is gone", "The kind is listed anew; nothing is lost.")
	MirrorRole          = define(1303, logrus.InfoLevel, "role towards the store changed", "watches: all for the first collector, urgent for the others and for a daemon that finds none with fresh news, nothing for one that waits at a collector.")
)
