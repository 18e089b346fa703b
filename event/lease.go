package event

import "github.com/sirupsen/logrus"

// Events of package lease.
var (
	LeaseTaken    = define(2300, logrus.InfoLevel, "lease acquired", "This daemon makes the calls that the lease named by key allows to one daemon at a time; it makes the first one after the time in quiet.")
	LeaseLost     = define(2301, logrus.InfoLevel, "lease lost", "Another daemon holds the lease, or its renewal could not be confirmed; this daemon makes no more of its calls.")
	LeaseReleased = define(2302, logrus.InfoLevel, "lease released", "This daemon is stopping; the next daemon in line may take the lease at once.")
)
