package rollout

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/rollout/rolloutpb"
)

// fetchTimeout bounds the read of one response's payloads from one runner.
const fetchTimeout = 10 * time.Second

// fetch reads the payloads of the collected samples from their runners. Samples that
// a runner lost or whose version tags do not cover all tokens are returned to the owner.
func (p *pullCall) fetch(ctx context.Context, reply *rolloutpb.CollectReply) []Sample {
	byRunner := map[string][]int32{}
	for _, r := range reply.Ready {
		byRunner[r.Runner] = append(byRunner[r.Runner], r.Id)
	}
	var mu sync.Mutex
	found := map[int32]Sample{}
	var wg sync.WaitGroup
	for runner, ids := range byRunner {
		wg.Add(1)
		go func() {
			defer wg.Done()
			payloads := p.fetchFrom(ctx, runner, ids)
			mu.Lock()
			defer mu.Unlock()
			for _, payload := range payloads {
				found[payload.Id] = sampleFromPayload(payload)
			}
		}()
	}
	wg.Wait()
	return p.dropLost(ctx, reply.Ready, found)
}

// dropLost returns the valid samples in the owner's order. It returns the missing and
// untagged ones to the owner.
func (p *pullCall) dropLost(ctx context.Context, ready []*rolloutpb.Ready, found map[int32]Sample) []Sample {
	var samples []Sample
	var lost []*rolloutpb.Ready
	for _, r := range ready {
		sample, ok := found[r.Id]
		if !ok || checkVersionTags(sample.Tokens, sample.Segments) != nil {
			lost = append(lost, r)
			continue
		}
		samples = append(samples, sample)
	}
	if len(lost) > 0 {
		p.m.counters.discarded.Add(int64(len(lost)))
		p.returnToOwner(ctx, lost, false)
	}
	return samples
}

func (p *pullCall) fetchFrom(ctx context.Context, runner string, ids []int32) []*rolloutpb.Payload {
	request := &rolloutpb.FetchRequest{Trainer: p.token.Trainer, Step: p.token.Step, Layout: p.token.LayoutHash, Ids: ids}
	if p.m.isSelf(runner) {
		return p.m.runner.payloads(request)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client, err := p.m.client(ctx, runner)
	if err != nil {
		return nil
	}
	stream, err := client.Fetch(ctx, request)
	if err != nil {
		return nil
	}
	defer func() { _ = stream.Close() }()
	var payloads []*rolloutpb.Payload
	for {
		payload, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return payloads
		}
		if err != nil {
			return payloads
		}
		payloads = append(payloads, payload)
	}
}
