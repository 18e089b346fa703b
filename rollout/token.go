package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

const (
	tokenFormat    = 1       // first byte of a token, its format version
	checksumBytes  = 8       // xxhash of all bytes before it
	maxNameBytes   = 256     // longest trainer or service name
	maxStepSamples = 1 << 16 // most samples in a step
	tokenRemedy    = "pull with the newest token that the trainer has, or open the step again with the same groups"
)

// Token is a continuation token: it records which samples of a step the trainer has. With
// the token and the step's definition, any daemon can continue the step.
//
// Binary form: format byte, trainer and service (length and bytes), step, epoch, layout
// (8 bytes), sample count, bitmap, checksum (8 bytes). Numbers are varints; those of
// fixed size are little endian. The JSON form is unpadded URL base64.
type Token struct {
	Trainer    string
	Service    string
	Step       int64
	Epoch      int64  // session that the token belongs to
	LayoutHash uint64 // hash of the step's definition
	Samples    int    // samples in the step
	bitmap     []byte // bit i is set when sample i was delivered
}

// NewToken returns a token without delivered samples.
func NewToken(trainer, service string, step, epoch int64, layout uint64, samples int) Token {
	return Token{
		Trainer:    trainer,
		Service:    service,
		Step:       step,
		Epoch:      epoch,
		LayoutHash: layout,
		Samples:    samples,
		bitmap:     make([]byte, (samples+7)/8),
	}
}

// IsDelivered reports whether sample id was delivered.
func (t Token) IsDelivered(id int) bool {
	return id >= 0 && id < t.Samples && t.bitmap[id/8]&(1<<(id%8)) != 0
}

// WithDelivered returns a copy of the token that marks the given samples as delivered too.
func (t Token) WithDelivered(ids ...int) Token {
	t.bitmap = append([]byte(nil), t.bitmap...)
	for _, id := range ids {
		t.bitmap[id/8] |= 1 << (id % 8)
	}
	return t
}

// WithEpoch returns the token for the session with the given epoch.
func (t Token) WithEpoch(epoch int64) Token {
	t.Epoch = epoch
	return t
}

// DeliveredCount returns the number of samples marked as delivered.
func (t Token) DeliveredCount() int {
	count := 0
	for _, b := range t.bitmap {
		count += bits.OnesCount8(b)
	}
	return count
}

// Bytes returns the binary form.
func (t Token) Bytes() []byte {
	b := []byte{tokenFormat}
	b = appendString(b, t.Trainer)
	b = appendString(b, t.Service)
	b = binary.AppendVarint(b, t.Step)
	b = binary.AppendVarint(b, t.Epoch)
	b = binary.LittleEndian.AppendUint64(b, t.LayoutHash)
	b = binary.AppendUvarint(b, uint64(t.Samples))
	b = append(b, t.bitmap...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// String returns the JSON form.
func (t Token) String() string { return base64.RawURLEncoding.EncodeToString(t.Bytes()) }

func appendString(b []byte, text string) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// ParseToken parses the JSON form. Error: fault.Invalid.
func ParseToken(text string) (Token, error) {
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, invalidToken("it is not unpadded URL base64")
	}
	return parseTokenBytes(b)
}

func parseTokenBytes(b []byte) (Token, error) {
	if len(b) < 1+checksumBytes || b[0] != tokenFormat {
		return Token{}, invalidToken("it is too short or of an unknown format")
	}
	body := b[:len(b)-checksumBytes]
	if binary.LittleEndian.Uint64(b[len(body):]) != xxhash.Sum64(body) {
		return Token{}, invalidToken("its checksum does not match")
	}
	r := tokenReader{rest: body[1:]}
	t := Token{
		Trainer:    r.string(),
		Service:    r.string(),
		Step:       r.varint(),
		Epoch:      r.varint(),
		LayoutHash: r.uint64(),
	}
	samples := r.uvarint()
	if r.failed || samples == 0 || samples > maxStepSamples || len(r.rest) != (int(samples)+7)/8 {
		return Token{}, invalidToken("its length does not match its content")
	}
	t.Samples = int(samples)
	t.bitmap = r.rest
	if t.Samples%8 != 0 && t.bitmap[len(t.bitmap)-1]>>(t.Samples%8) != 0 {
		return Token{}, invalidToken("it marks samples that the step does not have")
	}
	return t, nil
}

func invalidToken(reason string) error {
	return fault.New(fault.Invalid, "the token can't be read: "+reason, tokenRemedy, fault.WithOutcome(fault.NotRun))
}

// tokenReader reads the fields of a token. It sets failed once a field is truncated or
// too long.
type tokenReader struct {
	rest   []byte
	failed bool
}

func (r *tokenReader) string() string {
	n := r.uvarint()
	if r.failed || n > maxNameBytes || n > uint64(len(r.rest)) {
		r.failed = true
		return ""
	}
	text := string(r.rest[:n])
	r.rest = r.rest[n:]
	return text
}

func (r *tokenReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	r.skip(n)
	return v
}

func (r *tokenReader) varint() int64 {
	v, n := binary.Varint(r.rest)
	r.skip(n)
	return v
}

func (r *tokenReader) uint64() uint64 {
	if len(r.rest) < 8 {
		r.failed = true
		return 0
	}
	v := binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	return v
}

func (r *tokenReader) skip(n int) {
	if n <= 0 {
		r.failed = true
		r.rest = nil
		return
	}
	r.rest = r.rest[n:]
}
