package event

import "github.com/sirupsen/logrus"

// Events of package ratelimit.
var (
	RateLimitNamed    = define(2100, logrus.WarnLevel, "replica named a request limit", "The replica takes only per_second requests from all daemons together; sent is the number of requests that this daemon sent it under the previous limit, if it had one. Add replicas or find out why this one is in need.")
	RateLimitEnded    = define(2101, logrus.InfoLevel, "replica no longer names a request limit", "The replica's responses name no limit any more; sent is the number of requests that this daemon sent it while the limit was known.")
	RateLimitDeferred = define(2102, logrus.InfoLevel, "request deferred by the replica's limit", "The daemons together have used up the replica's request limit; this daemon may send it requests again after wait_ms. The request goes to another replica, waits, or is refused.")
)
