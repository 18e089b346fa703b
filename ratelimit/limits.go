package ratelimit

import (
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/event"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/ratelimit/ratelimitpb"
)

// observation is what a replica's responses last said about its request limit. Times are of
// clock.BootNow, so that a daemon that was suspended does not take old observations for new ones.
type observation struct {
	startedMs int64     // incarnation of the replica
	perSecond float64   // 0 if the replica names no limit any more
	at        time.Time // of the response
	sent      int64     // requests of this daemon since the limit was learned
}

// supersedes reports whether an observation is more recent than a known one.
func (o observation) supersedes(known observation) bool {
	if o.startedMs != known.startedMs {
		return o.startedMs > known.startedMs
	}
	return o.at.After(known.at)
}

// registry holds the request limits that this daemon knows, by replica ID. It is the topic that
// tells them to all daemons: a replica responds to a daemon of a large fleet only now and then, so
// that each daemon by itself would learn of a limit, and of its end, many seconds late.
type registry struct {
	now   func() time.Time
	ended func(id string) // called when a replica's limit has ended; must not block or call the registry
	log   *event.Logger

	mu     sync.Mutex
	limits map[string]observation
}

func newRegistry(now func() time.Time, ended func(id string), log *event.Logger) *registry {
	return &registry{now: now, ended: ended, log: log, limits: map[string]observation{}}
}

// get returns the known limit of an incarnation of a replica.
func (r *registry) get(id string, startedMs int64) (observation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.limits[id]
	return known, ok && known.startedMs == startedMs && known.perSecond > 0
}

// recordResponse records the limit that a response names, 0 for none, and reports whether other
// daemons should learn of it. sentAt is when the request was sent: a response without a limit ends
// a limit only if the request was sent after the limit was last named, since responses may
// overtake each other.
func (r *registry) recordResponse(id string, startedMs int64, perSecond float64, sentAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.limits[id]
	if perSecond <= 0 && (!exists || known.perSecond == 0 || known.startedMs == startedMs && !sentAt.After(known.at)) {
		return false
	}
	return r.record(id, observation{startedMs: startedMs, perSecond: perSecond, at: r.now()})
}

// record replaces what is known about a replica if o is more recent. It reports whether the limit
// changed. The caller holds the lock.
func (r *registry) record(id string, o observation) bool {
	known, exists := r.limits[id]
	if exists && !o.supersedes(known) {
		return false
	}
	changed := o.perSecond != known.perSecond || exists && o.startedMs != known.startedMs
	if !changed {
		o.sent = known.sent
	}
	r.limits[id] = o
	switch {
	case !changed:
	case o.perSecond > 0:
		r.log.Log(event.RateLimitNamed, event.F("replica", id), event.F("per_second", o.perSecond), event.F("sent", known.sent))
	default:
		r.log.Log(event.RateLimitEnded, event.F("replica", id), event.F("sent", known.sent))
		r.ended(id)
	}
	return changed
}

// merge records another daemon's observation and reports whether the limit changed.
func (r *registry) merge(l *ratelimitpb.Limit) bool {
	if l == nil || l.Replica == "" || !(l.PerSecond >= 0) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.limits[l.Replica]; !exists && (l.PerSecond == 0 || len(r.limits) >= maxReplicas) {
		return false
	}
	age := time.Duration(max(l.AgeMs, 0)) * time.Millisecond
	return r.record(l.Replica, observation{startedMs: l.StartedMs, perSecond: l.PerSecond, at: r.now().Add(-age)})
}

// encode returns the message about a replica's limit, nil if nothing is known.
func (r *registry) encode(id string) *ratelimitpb.Limit {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, exists := r.limits[id]
	if !exists {
		return nil
	}
	return &ratelimitpb.Limit{
		Replica: id, StartedMs: known.startedMs, PerSecond: known.perSecond, AgeMs: r.now().Sub(known.at).Milliseconds(),
	}
}

// countSent counts a request to a replica that names a limit.
func (r *registry) countSent(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, exists := r.limits[id]; exists {
		known.sent++
		r.limits[id] = known
	}
}

// retain deletes what is known about other replicas than the listed ones.
func (r *registry) retain(listed func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.limits {
		if !listed(id) {
			delete(r.limits, id)
		}
	}
}

// LimitedReplica is a replica's request limit, for the metrics.
type LimitedReplica struct {
	PerSecond float64 `json:"per_second"` // from all daemons together
	Sent      int64   `json:"sent"`       // requests of this daemon since the limit was learned
}

func (r *registry) snapshot() map[string]LimitedReplica {
	r.mu.Lock()
	defer r.mu.Unlock()
	limited := make(map[string]LimitedReplica, len(r.limits))
	for id, known := range r.limits {
		if known.perSecond > 0 {
			limited[id] = LimitedReplica{PerSecond: known.perSecond, Sent: known.sent}
		}
	}
	return limited
}

// Name implements gossip.Topic.
func (r *registry) Name() string { return "request-limits" }

// Facts implements gossip.Topic. The ends of limits are among the facts.
func (r *registry) Facts() []gossip.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	facts := make([]gossip.Fact, 0, len(r.limits))
	for id, known := range r.limits {
		value, err := proto.Marshal(&ratelimitpb.Limit{StartedMs: known.startedMs, PerSecond: known.perSecond})
		if err != nil {
			panic(err) // not reached: the message has only numbers
		}
		facts = append(facts, gossip.Fact{Key: id, Value: value, Age: r.now().Sub(known.at)})
	}
	return facts
}

// Digest implements gossip.Topic. It covers the limits in force only: that a limit ended matters
// only to a daemon that still knows the limit.
func (r *registry) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var texts []string
	for id, known := range r.limits {
		if known.perSecond > 0 {
			texts = append(texts, id+" "+strconv.FormatInt(known.startedMs, 10)+" "+strconv.FormatFloat(known.perSecond, 'g', -1, 64))
		}
	}
	return gossip.Digest(texts)
}

// Merge implements gossip.Topic.
func (r *registry) Merge(facts []gossip.Fact) bool {
	changed := false
	for _, f := range facts {
		limit := &ratelimitpb.Limit{}
		if proto.Unmarshal(f.Value, limit) != nil {
			continue // of another version
		}
		limit.Replica, limit.AgeMs = f.Key, f.Age.Milliseconds()
		changed = r.merge(limit) || changed
	}
	return changed
}
