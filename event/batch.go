package event

import "github.com/sirupsen/logrus"

// Events of package batch.
var (
	BatchAccepted       = define(1500, logrus.InfoLevel, "batch accepted", "The batch is in the platform's store at the given version; this daemon runs it.")
	BatchTakenOver      = define(1501, logrus.InfoLevel, "batch taken over", "The daemon that ran the batch stopped, was lost or handed it over; this one goes on from what is listed.")
	BatchHandedOver     = define(1502, logrus.InfoLevel, "batch handed over", "This daemon stops; another one goes on with the unfinished texts.")
	BatchItemMoved      = define(1503, logrus.InfoLevel, "item goes on elsewhere", "A replica refused the item, broke off or runs weights that are too old; its text is kept.")
	BatchItemErrored    = define(1504, logrus.WarnLevel, "item given up", "The replicas said that the item can't be done, or it failed as often as its route allows.")
	BatchScoreFailed    = define(1505, logrus.InfoLevel, "scoring request failed", "The scoring service did not answer with a score; it is asked again within its route's attempts.")
	BatchChunkLost      = define(1506, logrus.InfoLevel, "another daemon wrote the results first", "Two daemons ran the batch; the results in the store count, this daemon's copies of them are dropped.")
	BatchChunkRefused   = define(1507, logrus.ErrorLevel, "results are too large for the store", "A defect of this program. Report it.")
	BatchUnreadable     = define(1508, logrus.ErrorLevel, "stored batch can't be read", "Another program version or writer made the object; check who wrote it.")
	BatchYielded        = define(1510, logrus.InfoLevel, "batch yielded", "Another daemon took this one for lost and runs the batch; this one stops its part.")
	BatchStalled        = define(1511, logrus.WarnLevel, "daemon stood still", "The instance was suspended or starved; for some seconds results are checked against the store.")
	BatchForwarded      = define(1513, logrus.InfoLevel, "batch sent to its host", "The daemon that runs the trainer's steps stores and runs the batch; members is how many daemons the choice was made from.")
	BatchItemPlaced     = define(1514, logrus.InfoLevel, "item placed", "A replica generates the item's text from event after+1 on. listed, able, trusted and free count the replicas after each filter; waited_ms is since the batch was accepted; queue counts the items that wait behind it.")
	BatchItemText       = define(1515, logrus.InfoLevel, "text whole", "The replica's stream ended; versions are those of the whole text.")
	BatchItemScored     = define(1516, logrus.InfoLevel, "item scored", "The scoring service answered; the item's result waits to be listed.")
	BatchListed         = define(1517, logrus.InfoLevel, "results listed", "The chunk of results stands in the store; each of its items keeps its position. listed of total are done.")
	BatchEnded          = define(1518, logrus.InfoLevel, "batch ended", "The trainer ended the batch; this daemon, which ran it, begins nothing more of it. listed of total results were there.")
	BatchItemSlow       = define(1520, logrus.InfoLevel, "text straggles", "The replica takes much longer for an event than usual_ms, or queues the item; the text goes on at another one that has a place.")
	BatchWaits          = define(1519, logrus.InfoLevel, "items wait for a place", "No replica may take the first item that waits; the counts tell which filter left none. Told once a second at most.")
	BatchTextsSaved     = define(1521, logrus.InfoLevel, "growing texts saved", "The store has the texts as far as they have come; whoever takes the batch over goes on with them.")
	BatchTextsUnsaved   = define(1522, logrus.InfoLevel, "growing texts not saved", "The store did not take them; tried again later. If the batch is taken over meanwhile, they are made anew.")
	BatchHostPassedOver = define(1512, logrus.InfoLevel, "host passed over", "The daemon that runs the trainer's steps did not take a batch; the one that was asked runs it.")
)
