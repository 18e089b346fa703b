// Package rollout serves trainers: sessions, steps, groups of samples and
// continuation tokens.
//
// A trainer may call any daemon. Each step has an owner, the daemon that tracks where
// the step's samples are and schedules its groups. A runner is a daemon that generates
// the samples of a group and holds the finished ones (the payloads) until the trainer
// has them.
//
// A continuation token marks the samples that the trainer has. A straggler is an attempt
// that generates a sample much more slowly than other samples; a hedge is a second,
// concurrent attempt on another replica.
package rollout

import "github.com/hornbeamtide/hornbeamtide/backend"

// OpenSessionRequest is the body of POST /v1/trainers/{trainer}/sessions.
type OpenSessionRequest struct {
	Service string `json:"service"`
	Token   string `json:"token,omitempty"` // older token to carry over into the new session
}

// Session is the response to OpenSession. A newer epoch ends the trainer's older sessions.
type Session struct {
	Trainer string `json:"trainer"`
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
	Token   string `json:"token,omitempty"` // the token carried over, else the newest stored one, if any
}

// Group is a prompt and the number of samples to generate for it.
type Group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`    // 0 selects the document's group size
	MaxTokens int    `json:"max_tokens"` // 0 selects the document's limit
}

// OpenStepRequest is the body of POST /v1/trainers/{trainer}/steps.
type OpenStepRequest struct {
	Service string  `json:"service"`
	Epoch   int64   `json:"epoch"`
	Step    int64   `json:"step"`
	Bound   *int    `json:"bound,omitempty"` // staleness bound, at most the document's; nil selects the document's
	Groups  []Group `json:"groups"`
}

// Step is the response to OpenStep.
type Step struct {
	Token   string `json:"token"`   // continuation token without delivered samples
	Samples int    `json:"samples"` // samples in the step
}

// PullRequest is the body of POST /v1/trainers/{trainer}/pull.
type PullRequest struct {
	Token   string `json:"token"`
	Version int64  `json:"version"` // trainer's weight version; 0 selects the newest published
	Max     int    `json:"max"`     // samples in the response; 0 selects the maximum of 256
	WaitMS  int64  `json:"wait_ms"` // longest wait for the first sample
}

// Sample is one delivered sample.
type Sample struct {
	ID         int               `json:"id"` // index in the step
	Group      string            `json:"group"`
	Completion string            `json:"text"`
	Tokens     int               `json:"tokens"`
	Segments   []backend.Segment `json:"segments"`
	Replica    string            `json:"replica"`
}

// PullResponse is the response to PullRequest.
type PullResponse struct {
	Samples   []Sample `json:"samples"`
	Token     string   `json:"token"`     // also marks the samples of this response as delivered
	Remaining int      `json:"remaining"` // samples not delivered yet
}
