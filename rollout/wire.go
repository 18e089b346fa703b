package rollout

import (
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

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
