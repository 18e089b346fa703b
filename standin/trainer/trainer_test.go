package trainer

import (
	"testing"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/rollout"
	"github.com/hornbeamtide/hornbeamtide/standin/fakeengine"
)

func TestCheckerCountsViolations(t *testing.T) {
	oneVersion := []backend.Segment{{Version: 3, FirstToken: 0, Tokens: 2}}
	validSample := func(id int, segments []backend.Segment) rollout.Sample {
		tokens := 0
		for _, s := range segments {
			tokens += s.Tokens
		}
		return rollout.Sample{ID: id, Group: "g", Tokens: tokens, Segments: segments, Completion: fakeengine.CompletionText("p", segments)}
	}
	mismatched := validSample(5, oneVersion)
	mismatched.Segments = []backend.Segment{{Version: 4, FirstToken: 0, Tokens: 2}}
	cases := []struct {
		name    string
		samples []rollout.Sample
		want    Result // only the counts of violations
	}{
		{"complete", []rollout.Sample{validSample(0, oneVersion)}, Result{}},
		{"delivered twice", []rollout.Sample{validSample(0, oneVersion), validSample(0, oneVersion)}, Result{Duplicated: 1}},
		{"two versions", []rollout.Sample{validSample(0, []backend.Segment{{Version: 3, Tokens: 2}, {Version: 4, FirstToken: 2, Tokens: 1}})}, Result{}},
		{"over the bound by its oldest version", []rollout.Sample{validSample(0, []backend.Segment{{Version: 2, Tokens: 2}, {Version: 5, FirstToken: 2, Tokens: 1}})}, Result{OverBound: 1}},
		{"no segment", []rollout.Sample{{ID: 0, Group: "g", Tokens: 2}}, Result{Untagged: 1}},
		{"version 0", []rollout.Sample{validSample(0, []backend.Segment{{Tokens: 2}})}, Result{Untagged: 1}},
		{"gap between segments", []rollout.Sample{{ID: 0, Group: "g", Tokens: 3, Segments: []backend.Segment{{Version: 3, Tokens: 1}, {Version: 3, FirstToken: 2, Tokens: 2}}}}, Result{Untagged: 1}},
		{"segments name a version that did not generate the completion", []rollout.Sample{mismatched}, Result{MismatchedCompletions: 1}},
	}
	for _, c := range cases {
		checker := newChecker([]rollout.Group{{ID: "g", Prompt: "p"}}, 2)
		checker.result.Expected = 1
		for _, s := range c.samples {
			checker.record(s, 5)
		}
		got := checker.finish()
		if got.Duplicated != c.want.Duplicated || got.OverBound != c.want.OverBound || got.Untagged != c.want.Untagged || got.MismatchedCompletions != c.want.MismatchedCompletions {
			t.Errorf("%s: got %+v", c.name, got)
		}
		if got.Violated() != (c.want.Duplicated+c.want.OverBound+c.want.Untagged+c.want.MismatchedCompletions > 0) {
			t.Errorf("%s: Violated() is %v", c.name, got.Violated())
		}
	}
}
