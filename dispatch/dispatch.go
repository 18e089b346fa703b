// Package dispatch sends requests to backend servers with deadlines, retries within a
// budget and typed outcomes.
package dispatch

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// SampleRequest asks for one complete sample for a trainer.
type SampleRequest struct {
	Service    string
	RequestID  string // unique per attempt
	Key        string // group key: samples of one group share a prompt
	Prompt     string
	MaxTokens  int
	Seed       int64
	Team       string
	Exclude    []string                         // IDs of replicas to avoid
	OnVersion  func(version int64) error        // called at the start of each segment; an error cancels the attempt
	OnProgress func(replica string, tokens int) // called with 0 tokens when a replica is picked, then after each chunk with the tokens so far
}

// Completion is a complete result of Generate with the weight versions that produced it.
type Completion struct {
	Text     string
	Tokens   int
	Segments []backend.Segment // in order, covering all tokens
	Replica  string
	Started  time.Time
	Ended    time.Time
}

// Generator generates samples. Errors carry an outcome. Generate makes one attempt; the
// caller retries.
type Generator interface {
	Generate(ctx context.Context, r SampleRequest) (Completion, error)
}
