package measure

// The kinds. Outcomes are answered, failed, not_run, canceled for requests.
var (
	RequestWhole = define("request_whole", "from a caller's request until its answer was passed on or refused", "route", "outcome")
	RequestHead  = define("request_head", "from sending a request to a replica until the head of its answer", "route", "outcome")
	Connect      = define("connect", "of a connection to a replica", "outcome")

	ItemQueue  = define("item_queue", "from a batch's acceptance until an item got its place at a replica", "model")
	ItemFirst  = define("item_first_event", "from sending an item to a replica until its first event", "model")
	ItemText   = define("item_text", "from sending an item to a replica until its stream ended", "model", "outcome")
	ItemScore  = define("item_score", "from a whole text until its score", "model", "outcome")
	GroupWhole = define("group_whole", "from a batch's acceptance until all items of a group were done", "model")
	BatchWhole = define("batch_whole", "from a batch's acceptance until its last result was listed", "model")
	ChunkWrite = define("chunk_write", "from the first try to write a chunk of results until it stood in the store")

	StoreCall = define("store_call", "of one call to the platform's store, watches left out", "call", "answer")
	PeerRead  = define("peer_read", "of a question for results to the daemon that runs the batch, its wait included", "outcome")

	WeightLoad = define("weight_load", "from an accepted order until the replica was seen to run the version", "model")
)
