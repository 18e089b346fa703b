package measure

// Kinds of measurements. The outcome of a request is answered, failed, not_run or canceled.
var (
	RequestWhole = define("request_whole", "from a caller's request until its response was forwarded or the request was refused", "route", "outcome")
	RequestHead  = define("request_head", "from sending a request to a replica until the headers of the response arrived", "route", "outcome")
	Connect      = define("connect", "to open a connection to a replica", "outcome")

	ItemQueue      = define("item_queue", "from a batch's acceptance until an item got a slot of a replica", "model")
	ItemFirstEvent = define("item_first_event", "from sending an item to a replica until its first event arrived", "model")
	ItemCompletion = define("item_text", "from sending an item to a replica until its stream ended", "model", "outcome")
	ItemScore      = define("item_score", "from the end of a completion until its score arrived", "model", "outcome")
	GroupWhole     = define("group_whole", "from a batch's acceptance until all items of a group were done", "model")
	BatchWhole     = define("batch_whole", "from a batch's acceptance until its last result was listed", "model")
	ChunkWrite     = define("chunk_write", "from the first attempt to write a chunk of results until the store held it")

	StoreCall = define("store_call", "of one call to the platform's store, except watches", "call", "answer")
	PeerRead  = define("peer_read", "of one request for results to the daemon that runs the batch, including the time that it waits for results", "outcome")

	WeightLoad = define("weight_load", "from an accepted order until the replica reported that it runs the version", "model")
)
