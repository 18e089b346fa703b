package fakeengine

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

func promptHash(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// completionWords returns n words of the completion, starting at index first. They depend
// on prompt and weight version only, so that a completion shows which version produced it.
func completionWords(prompt string, version int64, first, n int) string {
	base := promptHash(prompt) + uint64(version)*0x9e3779b97f4a7c15
	var text strings.Builder
	for i := first; i < first+n; i++ {
		x := (base ^ uint64(i)*0x94d049bb133111eb) * 0xbf58476d1ce4e5b9
		text.WriteString(strconv.FormatUint(x>>44, 36))
		text.WriteByte(' ')
	}
	return text.String()
}

// CompletionText returns the text that engines generate for a prompt with the versions of the
// segments.
func CompletionText(prompt string, segments []backend.Segment) string {
	var text strings.Builder
	for _, s := range segments {
		text.WriteString(completionWords(prompt, s.Version, s.FirstToken, s.Tokens))
	}
	return text.String()
}

// completionLength draws the length of a completion in tokens from a log-normal
// distribution, seeded with the request's prompt and seed.
func completionLength(r backend.GenerateRequest, config Config) int {
	random := rand.New(rand.NewPCG(promptHash(r.Prompt), uint64(r.Seed)))
	length := int(float64(config.MedianTokens) * math.Exp(config.LengthSpread*random.NormFloat64()))
	if r.MaxTokens > 0 {
		length = min(length, r.MaxTokens)
	}
	return max(length, 1)
}
