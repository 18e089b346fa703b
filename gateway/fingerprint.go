package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 16

// bodyDigest returns the length and a fast hash of the body, which may have many megabytes.
func (r *Request) bodyDigest() []byte {
	digest := binary.LittleEndian.AppendUint64(nil, uint64(len(r.Body)))
	return binary.LittleEndian.AppendUint64(digest, xxhash.Sum64(r.Body))
}

// fingerprint identifies a request that is repeated: it is the same for requests with the same method,
// host, target and body, whatever their IDs and headers are. The address of the connection is no part
// of it, since a caller may have instances in several failure domains.
func (r *Request) fingerprint() string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.Target), r.bodyDigest()} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}
