package event

import "github.com/sirupsen/logrus"

// Events of package claims.
var (
	ClaimShardLoaded      = define(700, logrus.InfoLevel, "claim shard loaded", "This daemon read the shard's journal and grants claims of the shard.")
	ClaimShardConflict    = define(701, logrus.InfoLevel, "claim shard has another owner", "An append conflicted with an append of another owner; the newer entries are read before any grant.")
	ClaimShardCompacted   = define(702, logrus.InfoLevel, "claim shard compacted", "Old journal entries were merged into a checkpoint.")
	ClaimAppendFailed     = define(703, logrus.WarnLevel, "claim append failed", "The platform did not accept a journal entry; its claims are refused with outcome not_run.")
	ClaimOwnerUnreachable = define(704, logrus.InfoLevel, "claim shard owner unreachable", "The shard's owner did not respond; this daemon appends to the journal itself.")
)
