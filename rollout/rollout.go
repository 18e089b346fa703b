// Package rollout serves trainers: sessions, steps, groups of samples and
// continuation tokens.
package rollout

import "github.com/hornbeamtide/hornbeamtide/backend"

// OpenSession is the body of POST /v1/trainers/{trainer}/sessions.
type OpenSession struct {
	Service string `json:"service"`
	Token   string `json:"token,omitempty"` // the trainer's own older token, to be carried over
}

// Session answers OpenSession. A newer epoch ends the older sessions of the trainer.
type Session struct {
	Trainer string `json:"trainer"`
	Service string `json:"service"`
	Epoch   int64  `json:"epoch"`
	Token   string `json:"token,omitempty"` // the carried over or else the newest stored token, if any
}

// Group is one prompt with its number of samples.
type Group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`    // 0: the document's group size
	MaxTokens int    `json:"max_tokens"` // 0: the document's
}

// OpenStep is the body of POST /v1/trainers/{trainer}/steps.
type OpenStep struct {
	Service string  `json:"service"`
	Epoch   int64   `json:"epoch"`
	Step    int64   `json:"step"`
	Bound   *int    `json:"bound,omitempty"` // tighter staleness bound, nil for the document's
	Groups  []Group `json:"groups"`
}

// Step answers OpenStep.
type Step struct {
	Token   string `json:"token"`   // continuation token without delivered samples
	Samples int    `json:"samples"` // samples in the step
}

// Pull is the body of POST /v1/trainers/{trainer}/pull.
type Pull struct {
	Token   string `json:"token"`
	Version int64  `json:"version"` // trainer's weight version, 0: the newest published
	Max     int    `json:"max"`     // samples in the answer, 0: no limit
	WaitMS  int64  `json:"wait_ms"` // wait for the first sample
}

// Sample is one delivered sample.
type Sample struct {
	ID       int               `json:"id"` // index in the step
	Group    string            `json:"group"`
	Text     string            `json:"text"`
	Tokens   int               `json:"tokens"`
	Segments []backend.Segment `json:"segments"`
	Replica  string            `json:"replica"`
}

// Batch answers Pull.
type Batch struct {
	Samples   []Sample `json:"samples"`
	Token     string   `json:"token"`     // holds the samples of this answer too
	Remaining int      `json:"remaining"` // samples not delivered yet
}
