package rollout

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// stepKey identifies a step with one layout of its samples.
type stepKey struct {
	trainer string
	step    int64
	layout  uint64 // layoutHash of the definition
}

// placement is the rendezvous key of the step's owner.
func (k stepKey) placement() string { return fmt.Sprintf("%s/%d", k.trainer, k.step) }

// object is the key of the step's definition in the object API.
func (k stepKey) object() string { return fmt.Sprintf("steps/%s/%d", k.trainer, k.step) }

func keyOfToken(t Token) stepKey {
	return stepKey{trainer: t.Trainer, step: t.Step, layout: t.LayoutHash}
}

func keyOfDefinition(d *rolloutpb.Definition) stepKey {
	return stepKey{trainer: d.Trainer, step: d.Step, layout: layoutHash(d)}
}

// layoutHash hashes the parts of a definition that determine its samples.
func layoutHash(d *rolloutpb.Definition) uint64 {
	b := appendString(nil, d.Trainer)
	b = appendString(b, d.Service)
	b = binary.AppendVarint(b, d.Step)
	b = binary.AppendVarint(b, int64(d.Bound))
	for _, g := range d.Groups {
		b = appendString(b, g.Id)
		b = appendString(b, g.Prompt)
		b = binary.AppendVarint(b, int64(g.Samples))
		b = binary.AppendVarint(b, int64(g.MaxTokens))
	}
	return xxhash.Sum64(b)
}

func sampleCount(d *rolloutpb.Definition) int {
	count := 0
	for _, g := range d.Groups {
		count += int(g.Samples)
	}
	return count
}

// newDefinition validates a trainer's request and returns the definition. Error:
// fault.Invalid.
func newDefinition(trainer string, request OpenStepRequest, doc *document.Document, now time.Time) (*rolloutpb.Definition, error) {
	d := &rolloutpb.Definition{
		Trainer:  trainer,
		Service:  request.Service,
		Step:     request.Step,
		Epoch:    request.Epoch,
		Bound:    int32(doc.Samples.StalenessBound),
		OpenedMs: now.UnixMilli(),
	}
	if request.Bound != nil {
		if *request.Bound < 0 || *request.Bound > doc.Samples.StalenessBound {
			return nil, invalidStep(fmt.Sprintf("bound %d is not between 0 and the document's %d", *request.Bound, doc.Samples.StalenessBound))
		}
		d.Bound = int32(*request.Bound)
	}
	if len(request.Groups) == 0 {
		return nil, invalidStep("it has no groups")
	}
	if err := addGroups(d, request.Groups, doc); err != nil {
		return nil, err
	}
	if proto.Size(d) > objectapi.MaxValueBytes {
		return nil, invalidStep(fmt.Sprintf("its definition exceeds %d bytes", objectapi.MaxValueBytes))
	}
	return d, nil
}

func addGroups(d *rolloutpb.Definition, groups []Group, doc *document.Document) error {
	seen := make(map[string]bool, len(groups))
	first := 0
	for _, g := range groups {
		if g.ID == "" || seen[g.ID] {
			return invalidStep(fmt.Sprintf("group id %q is empty or used twice", g.ID))
		}
		if g.Samples < 0 || g.MaxTokens < 0 {
			return invalidStep(fmt.Sprintf("group %q has a negative samples or max_tokens value", g.ID))
		}
		seen[g.ID] = true
		if g.Samples == 0 {
			g.Samples = doc.Samples.GroupSize
		}
		if g.MaxTokens == 0 {
			g.MaxTokens = doc.Samples.MaxTokens
		}
		if first+g.Samples > maxStepSamples {
			return invalidStep(fmt.Sprintf("it has more than %d samples", maxStepSamples))
		}
		d.Groups = append(d.Groups, &rolloutpb.Group{
			Id: g.ID, Prompt: g.Prompt, First: int32(first), Samples: int32(g.Samples), MaxTokens: int32(g.MaxTokens),
		})
		first += g.Samples
	}
	return nil
}

func invalidStep(reason string) error {
	return fault.New(fault.Invalid, "the step can't be opened: "+reason, "correct the step and open it again", fault.WithOutcome(fault.NotRun))
}

// withGroup returns a copy of the definition with only the group at index.
func withGroup(d *rolloutpb.Definition, index int) *rolloutpb.Definition {
	single := withoutGroups(d)
	single.Groups = []*rolloutpb.Group{d.Groups[index]}
	return single
}

// withoutGroups returns a copy of the definition without its groups.
func withoutGroups(d *rolloutpb.Definition) *rolloutpb.Definition {
	return &rolloutpb.Definition{
		Trainer: d.Trainer, Service: d.Service, Step: d.Step, Epoch: d.Epoch, Bound: d.Bound, OpenedMs: d.OpenedMs,
	}
}
