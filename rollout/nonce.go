package rollout

import (
	"crypto/rand"
	"encoding/hex"
)

const nonceBytes = 12

// newNonce returns a random identifier.
func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
