package rollout

import (
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// faultOf puts err into a drpc message; nil for no error.
func faultOf(err error) *rolloutpb.Fault {
	if err == nil {
		return nil
	}
	return &rolloutpb.Fault{
		Kind:         string(fault.KindOf(err)),
		Message:      fault.BodyOf(err).Message,
		Remedy:       fault.RemedyOf(err),
		Outcome:      string(fault.OutcomeOf(err)),
		RetryAfterMs: fault.RetryAfterOf(err).Milliseconds(),
	}
}

// errorOf takes an error out of a drpc message.
func errorOf(f *rolloutpb.Fault) error {
	if f == nil {
		return nil
	}
	message := f.Message
	if suffix := "; " + f.Remedy; f.Remedy != "" && len(message) > len(suffix) && message[len(message)-len(suffix):] == suffix {
		message = message[:len(message)-len(suffix)]
	}
	return fault.New(fault.Kind(f.Kind), message, f.Remedy,
		fault.WithOutcome(fault.Outcome(f.Outcome)),
		fault.WithRetryAfter(time.Duration(f.RetryAfterMs)*time.Millisecond))
}

func replyOf(err error) *rolloutpb.Reply { return &rolloutpb.Reply{Fault: faultOf(err)} }

// sampleOf takes a sample out of a payload.
func sampleOf(p *rolloutpb.Payload) Sample {
	s := Sample{ID: int(p.Id), Group: p.Group, Text: p.Text, Tokens: int(p.Tokens), Replica: p.Replica}
	for _, seg := range p.Segments {
		s.Segments = append(s.Segments, backend.Segment{Version: seg.Version, First: int(seg.First), Tokens: int(seg.Tokens)})
	}
	return s
}

// payloadOf is the reverse of sampleOf.
func payloadOf(s Sample) *rolloutpb.Payload {
	p := &rolloutpb.Payload{Id: int32(s.ID), Group: s.Group, Text: s.Text, Tokens: int32(s.Tokens), Replica: s.Replica}
	for _, seg := range s.Segments {
		p.Segments = append(p.Segments, &rolloutpb.Segment{Version: seg.Version, First: int32(seg.First), Tokens: int32(seg.Tokens)})
	}
	return p
}

// oldestVersion returns the oldest weight version of a sample.
func oldestVersion(segments []backend.Segment) int64 {
	oldest := segments[0].Version
	for _, s := range segments[1:] {
		oldest = min(oldest, s.Version)
	}
	return oldest
}

// checkTags returns fault.Untagged unless the segments name a version for each token
// from the first to the last, in order and without gaps.
func checkTags(tokens int, segments []backend.Segment) error {
	next := 0
	for _, s := range segments {
		if s.Version <= 0 || s.First != next || s.Tokens < 0 {
			return untagged()
		}
		next += s.Tokens
	}
	if len(segments) == 0 || next != tokens {
		return untagged()
	}
	return nil
}

func untagged() error {
	return fault.New(fault.Untagged, "a sample does not name the weight version of all its tokens", "it is generated again; check the engine's version tags if this repeats")
}
