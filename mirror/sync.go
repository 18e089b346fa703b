package mirror

import (
	"context"
	"maps"
	"slices"
	"time"

	"storj.io/drpc"

	"github.com/hornbeamtide/hornbeamtide/mirror/mirrorpb"
	"github.com/hornbeamtide/hornbeamtide/objectapi"
)

// callTimeout bounds one question to a peer.
const callTimeout = 800 * time.Millisecond

// Register adds the mirror's drpc service.
func (m *Mirror) Register(mux drpc.Mux) error {
	return mirrorpb.DRPCRegisterMirror(mux, service{m})
}

// syncWithPeers asks one peer after the other for what this daemon missed.
func (m *Mirror) syncWithPeers(ctx context.Context) {
	for next := 0; ctx.Err() == nil; next++ {
		sleep(ctx, m.syncPause())
		peers := m.peers()
		delete(peers, m.config.Self)
		if len(peers) == 0 {
			continue
		}
		ids := slices.Sorted(maps.Keys(peers))
		id := ids[next%len(ids)]
		m.syncWith(ctx, id, peers[id])
	}
}

// syncPause is shorter while the store does not answer.
func (m *Mirror) syncPause() time.Duration {
	if m.StoreAnswers() {
		return m.config.SyncInterval
	}
	return m.config.SyncInterval / 4
}

func (m *Mirror) syncWith(ctx context.Context, id, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := m.conns.Conn(ctx, address)
	if err != nil {
		return
	}
	answer, err := mirrorpb.NewDRPCMirrorClient(conn).Sync(ctx, m.question())
	if err != nil {
		return // the next peer is asked soon; silence shows in Heard
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[id] = time.Now()
	for _, news := range answer.News {
		m.take(news)
	}
}

func (m *Mirror) question() *mirrorpb.SyncRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	request := &mirrorpb.SyncRequest{From: m.config.Self}
	for _, kind := range m.config.Kinds {
		request.Known = append(request.Known, &mirrorpb.Known{Kind: kind, Revision: m.kinds[kind].revision})
	}
	return request
}

// take applies a peer's news. The caller holds the lock.
func (m *Mirror) take(news *mirrorpb.News) {
	k := m.kinds[news.Kind]
	if k == nil || news.Revision <= k.revision {
		return
	}
	changed := make([]objectapi.Object, 0, len(news.Changed))
	for _, o := range news.Changed {
		changed = append(changed, objectapi.Object{Key: o.Key, Version: o.Version, Value: o.Value})
	}
	keys := make(map[string]bool, len(news.Keys))
	for _, key := range news.Keys {
		keys[key] = true
	}
	k.replace(news.Revision, changed, keys, m.disturbed())
}

// service answers peers.
type service struct{ m *Mirror }

// Sync implements mirrorpb.DRPCMirrorServer. Kinds of which nothing is known here are
// left out.
func (s service) Sync(_ context.Context, request *mirrorpb.SyncRequest) (*mirrorpb.SyncAnswer, error) {
	m := s.m
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heard[request.From] = time.Now()
	answer := &mirrorpb.SyncAnswer{}
	for _, known := range request.Known {
		k := m.kinds[known.Kind]
		if k == nil || k.revision <= known.Revision {
			continue
		}
		if news := k.newsAfter(known); news != nil {
			answer.News = append(answer.News, news)
		}
	}
	return answer, nil
}

// newsAfter returns what changed after the caller's revision, nil if nothing did.
func (k *kindCopy) newsAfter(known *mirrorpb.Known) *mirrorpb.News {
	news := &mirrorpb.News{Kind: known.Kind, Revision: k.revision}
	for key, o := range k.objects {
		news.Keys = append(news.Keys, key)
		if o.Version > known.Revision {
			news.Changed = append(news.Changed, &mirrorpb.Object{Key: o.Key, Version: o.Version, Value: o.Value})
		}
	}
	return news
}
