package event

import "github.com/sirupsen/logrus"

// Events of package batch.
var (
	BatchAccepted         = define(1500, logrus.InfoLevel, "batch accepted", "The batch is in the platform's store at the given version; this daemon runs it.")
	BatchTakenOver        = define(1501, logrus.InfoLevel, "batch taken over", "The daemon that ran the batch stopped, was lost or handed the batch over; this daemon continues after the results that are already listed.")
	BatchHandedOver       = define(1502, logrus.InfoLevel, "batch handed over", "This daemon is stopping; another daemon continues the unfinished completions.")
	BatchItemMoved        = define(1503, logrus.InfoLevel, "item moves to another replica", "A replica refused the item, ended its stream early or runs weights that are too old. The partial completion is kept.")
	BatchItemErrored      = define(1504, logrus.WarnLevel, "item failed permanently", "The replicas reported that the item can't be processed, or it failed as often as its route allows.")
	BatchScoreFailed      = define(1505, logrus.InfoLevel, "scoring request failed", "The scoring service did not return a score; the request is retried within the attempts of its route.")
	BatchChunkConflict    = define(1506, logrus.InfoLevel, "another daemon wrote the results first", "Two daemons ran the batch. The results in the store are valid; this daemon drops its own copies of them.")
	BatchChunkRefused     = define(1507, logrus.ErrorLevel, "results are too large for the store", "This is a defect of this program; report it.")
	BatchUnreadable       = define(1508, logrus.ErrorLevel, "stored batch is unreadable", "Another program version or another writer created the object; check who wrote it.")
	BatchYielded          = define(1510, logrus.InfoLevel, "batch yielded", "Another daemon considered this daemon lost and runs the batch; this daemon stops its own run.")
	BatchDaemonStalled    = define(1511, logrus.WarnLevel, "daemon process stalled", "The instance was suspended or starved of CPU time. For some seconds this daemon checks its results against the store.")
	BatchForwarded        = define(1513, logrus.InfoLevel, "batch forwarded to its owner", "The daemon that runs the trainer's steps stores and runs the batch. members is the number of daemons that the owner was chosen from.")
	BatchItemPlaced       = define(1514, logrus.InfoLevel, "item placed", "A replica generates the item's completion from event after+1 on. listed, able, trusted and free count the replicas that remain after each filter; waited_ms is the time since the batch was accepted; queue is the number of items waiting behind this one.")
	BatchItemGenerated    = define(1515, logrus.InfoLevel, "completion finished", "The replica's stream ended; versions lists the weight versions that generated the completion.")
	BatchItemScored       = define(1516, logrus.InfoLevel, "item scored", "The scoring service responded; the item's result waits to be listed.")
	BatchListed           = define(1517, logrus.InfoLevel, "results listed", "The chunk of results is in the store and the positions of its items are final. listed of total items are done.")
	BatchEnded            = define(1518, logrus.InfoLevel, "batch ended", "The trainer ended the batch; this daemon, which ran it, starts no more work for it. listed of total results were available.")
	BatchItemStraggling   = define(1520, logrus.InfoLevel, "item is a straggler", "The replica takes much longer than usual_ms for an event, or queues the item. The completion continues on another replica that has a free slot.")
	BatchItemsWaiting     = define(1519, logrus.InfoLevel, "items wait for a free replica", "No replica can take the first waiting item; the counts show which filter left none. Logged at most once per second.")
	BatchPartialsSaved    = define(1521, logrus.InfoLevel, "partial completions saved", "The store holds the partial completions; a daemon that takes over the batch continues from them.")
	BatchPartialsNotSaved = define(1522, logrus.InfoLevel, "partial completions not saved", "The store did not accept the partial completions; the write is retried later. If the batch is taken over before that, they are generated again.")
	BatchOwnerSkipped     = define(1512, logrus.InfoLevel, "batch owner skipped", "The daemon that runs the trainer's steps did not accept the batch; the daemon that received it runs it.")
	BatchChunkUnreadable  = define(1524, logrus.ErrorLevel, "stored results are unreadable", "Another writer created or changed the object. It counts as empty; its items are listed again in a later one.")
	BatchTakeoverDeferred = define(1525, logrus.WarnLevel, "takeover of a batch deferred", "The items need bytes that the memory for batches does not have; it is tried again, before new batches get that memory. If it lasts, give the instances more memory.")
	BatchResultTooLarge   = define(1523, logrus.ErrorLevel, "result fits into no object", "The item is listed as errored, since its output is larger than the store's values may be. Bound the length of outputs.")
)
