package event

import "github.com/sirupsen/logrus"

// Events of package usage.
var (
	UsageClockOff             = define(2400, logrus.WarnLevel, "wall clock differs from other daemons", "The median of the daemons' wall clocks differs from the wall clock of this instance by offset_ms. The windows of usage reports follow the median; check the time synchronisation of this instance.")
	UsageClockAgrees          = define(2401, logrus.InfoLevel, "wall clock agrees with other daemons", "The wall clock of this instance is close to the median of the daemons' wall clocks again.")
	UsageOrganisationsFull    = define(2402, logrus.ErrorLevel, "too many organisations in a window", "The window has counts for the maximum number of organisations; requests of further organisations in it are not reported.")
	UsageWindowGone           = define(2403, logrus.WarnLevel, "request outside the windows that are kept", "The request began in a window that is over for long, or this daemon's estimate of true time changed; it is not reported.")
	UsageReceiverUnresponsive = define(2404, logrus.InfoLevel, "daemon takes no counts", "The daemon did not respond to the counts of this daemon; they go to the next daemon of the order.")
	UsageReceiverRestarted    = define(2405, logrus.InfoLevel, "receiver of counts was restarted", "The daemon has lost the counts that it received; this daemon sends its recent counts again.")
	UsageTableFull            = define(2406, logrus.ErrorLevel, "received counts dropped", "The table of received counts has reached its bound; usage reports may be too low.")
	UsageReadFailed           = define(2408, logrus.InfoLevel, "counts of a daemon left out", "The daemon did not respond to the request for the counts of the window; they are in the tables of other daemons.")
	UsageTotalIncomplete      = define(2407, logrus.WarnLevel, "no other daemon responded with its counts", "The total of the window contains only the counts that this daemon has.")
)
