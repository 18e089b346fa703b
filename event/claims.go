package event

import "github.com/sirupsen/logrus"

// Events of package claims.
var (
	ClaimShardLoaded    = define(700, logrus.InfoLevel, "claim shard loaded", "This daemon read a shard's journal and grants its claims.")
	ClaimShardConflict  = define(701, logrus.InfoLevel, "claim shard has another keeper", "An append lost against another keeper; the newer entries were read before any grant.")
	ClaimShardCompacted = define(702, logrus.InfoLevel, "claim shard compacted", "Old journal entries were merged into a checkpoint.")
	ClaimAppendFailed   = define(703, logrus.WarnLevel, "claim append failed", "The platform did not take a journal entry; its claims are refused as not run.")
	ClaimKeeperAway     = define(704, logrus.InfoLevel, "claim keeper unreachable", "The shard's keeper did not answer and this daemon appends to the journal itself.")
)
