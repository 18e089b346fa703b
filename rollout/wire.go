package rollout

import (
	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

func sampleFromPayload(p *rolloutpb.Payload) Sample {
	s := Sample{ID: int(p.Id), Group: p.Group, Completion: p.Text, Tokens: int(p.Tokens), Replica: p.Replica}
	for _, seg := range p.Segments {
		s.Segments = append(s.Segments, backend.Segment{Version: seg.Version, FirstToken: int(seg.First), Tokens: int(seg.Tokens)})
	}
	return s
}

func payloadFromSample(s Sample) *rolloutpb.Payload {
	p := &rolloutpb.Payload{Id: int32(s.ID), Group: s.Group, Text: s.Completion, Tokens: int32(s.Tokens), Replica: s.Replica}
	for _, seg := range s.Segments {
		p.Segments = append(p.Segments, &rolloutpb.Segment{Version: seg.Version, First: int32(seg.FirstToken), Tokens: int32(seg.Tokens)})
	}
	return p
}

// oldestVersion returns the oldest weight version of a sample's segments, of which there
// must be at least one.
func oldestVersion(segments []backend.Segment) int64 {
	oldest := segments[0].Version
	for _, s := range segments[1:] {
		oldest = min(oldest, s.Version)
	}
	return oldest
}

// checkVersionTags returns fault.Untagged unless the segments assign a version to each
// token from the first to the last, in order and without gaps.
func checkVersionTags(tokens int, segments []backend.Segment) error {
	next := 0
	for _, s := range segments {
		if s.Version <= 0 || s.FirstToken != next || s.Tokens < 0 {
			return untaggedError()
		}
		next += s.Tokens
	}
	if len(segments) == 0 || next != tokens {
		return untaggedError()
	}
	return nil
}

func untaggedError() error {
	return fault.New(fault.Untagged, "a sample's version tags do not cover all its tokens", "it is generated again; check the engine's version tags if this repeats")
}
