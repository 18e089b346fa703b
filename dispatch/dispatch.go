// Package dispatch carries a request to a backend server: attempts, retries within
// a budget, deadlines and typed outcomes.
package dispatch

import (
	"context"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

// SampleRequest asks for one whole completion for a trainer.
type SampleRequest struct {
	Service    string
	RequestID  string // unique per attempt
	Key        string // group key: samples of one group share a prompt
	Prompt     string
	MaxTokens  int
	Seed       int64
	Team       string
	Exclude    []string                         // replica IDs not to use
	OnVersion  func(version int64) error        // called at each new segment; an error cancels the attempt
	OnProgress func(replica string, tokens int) // called when a replica was chosen (0 tokens), then at each chunk with the tokens so far
}

// Completion is a whole completion with its true weight versions.
type Completion struct {
	Text     string
	Tokens   int
	Segments []backend.Segment // in order, covering all tokens
	Replica  string
	Started  time.Time
	Ended    time.Time
}

// Generator generates samples. Errors carry an outcome; an attempt that failed is
// retried by the caller, not here.
type Generator interface {
	Generate(ctx context.Context, r SampleRequest) (Completion, error)
}
