package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/gossip"
	"github.com/hornbeamtide/hornbeamtide/quarantine/quarantinepb"
)

const (
	// recordLifetime is how long after its last crash a request is remembered, and a quarantine lasts:
	// the replicas or the caller may have been corrected by then.
	recordLifetime = 15 * time.Minute
	// clearedLifetime is how long a response to a request is remembered, so that daemons that have
	// not heard of it yet forget its crashes.
	clearedLifetime = time.Minute
	// maxRecords bounds the memory. Beyond it, requests with the fewest and oldest crashes are
	// forgotten.
	maxRecords = 1024
	// maxCrashesKept bounds the crashes of one record. More than maxCrashes come from attempts that
	// were in flight at the same time.
	maxCrashesKept = 8
)

// incarnation identifies one life of a replica.
type incarnation struct {
	replica   string
	startedMs int64
}

// record is what is known about a request. Times are of clock.BootNow.
type record struct {
	crashes   map[incarnation]time.Time
	clearedAt time.Time // when a replica last responded to the request; zero if none did
}

// lastChange returns the time of the last crash or response.
func (r *record) lastChange() time.Time {
	last := r.clearedAt
	for _, at := range r.crashes {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// clear forgets the crashes up to a response.
func (r *record) clear(at time.Time) bool {
	if !at.After(r.clearedAt) {
		return false
	}
	r.clearedAt = at
	maps.DeleteFunc(r.crashes, func(_ incarnation, crashedAt time.Time) bool { return !crashedAt.After(at) })
	return true
}

// addCrash adds a crash and reports whether it was unknown and counts.
func (r *record) addCrash(of incarnation, at time.Time) bool {
	if _, known := r.crashes[of]; known || !at.After(r.clearedAt) || len(r.crashes) >= maxCrashesKept {
		return false
	}
	r.crashes[of] = at
	return true
}

// registry holds the records by the fingerprint of the request. It is the topic that tells all
// daemons, since a request may come again at any of them.
type registry struct {
	now func() time.Time

	mu      sync.Mutex
	records map[string]*record
}

func newRegistry(now func() time.Time) *registry {
	return &registry{now: now, records: map[string]*record{}}
}

// isEmpty reports whether no request is under suspicion.
func (r *registry) isEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records) == 0
}

// crashes returns the number of replicas that crashed under a request, the time since the last crash,
// and how many of the healthy replicas did not crash.
func (r *registry) crashes(fingerprint string, healthy []catalog.Replica) (n int, sinceLast time.Duration, spared int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	if known == nil {
		return 0, 0, len(healthy)
	}
	for _, replica := range healthy {
		if _, crashed := known.crashes[incarnation{replica.ID, replica.StartedMs}]; !crashed {
			spared++
		}
	}
	return len(known.crashes), r.now().Sub(known.lastChange()), spared
}

// get returns the record of a request, after making it if there is none. The caller holds the lock.
func (r *registry) get(fingerprint string) *record {
	known := r.records[fingerprint]
	if known == nil {
		r.makeRoom()
		known = &record{crashes: map[incarnation]time.Time{}}
		r.records[fingerprint] = known
	}
	return known
}

// makeRoom forgets the least important record if there are maxRecords. The caller holds the lock.
func (r *registry) makeRoom() {
	if len(r.records) < maxRecords {
		return
	}
	least := ""
	for fingerprint, candidate := range r.records {
		current := r.records[least]
		switch {
		case current == nil, len(candidate.crashes) < len(current.crashes),
			len(candidate.crashes) == len(current.crashes) && candidate.lastChange().Before(current.lastChange()):
			least = fingerprint
		}
	}
	delete(r.records, least)
}

// addCrash records that a replica crashed under a request. It returns the number of crashes, and
// whether this one is new.
func (r *registry) addCrash(fingerprint string, of incarnation) (int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.get(fingerprint)
	added := known.addCrash(of, r.now())
	return len(known.crashes), added
}

// clear records that a replica responded to a request. It reports whether crashes were forgotten.
func (r *registry) clear(fingerprint string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	if known == nil || len(known.crashes) == 0 {
		return false
	}
	return known.clear(r.now())
}

// removeExpired forgets the records whose lifetime is over.
func (r *registry) removeExpired() {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.records, func(_ string, known *record) bool {
		lifetime := recordLifetime
		if len(known.crashes) == 0 {
			lifetime = clearedLifetime
		}
		return r.now().Sub(known.lastChange()) > lifetime
	})
}

// quarantinedCount returns the number of quarantined requests.
func (r *registry) quarantinedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, known := range r.records {
		if len(known.crashes) >= maxCrashes {
			n++
		}
	}
	return n
}

// encode returns the message about a request. The caller holds the lock.
func (r *registry) encode(known *record) *quarantinepb.Record {
	message := &quarantinepb.Record{Cleared: !known.clearedAt.IsZero()}
	if message.Cleared {
		message.ClearedAgeMs = r.now().Sub(known.clearedAt).Milliseconds()
	}
	for of, at := range known.crashes {
		message.Crashes = append(message.Crashes, &quarantinepb.Crash{
			Replica: of.replica, StartedMs: of.startedMs, AgeMs: r.now().Sub(at).Milliseconds(),
		})
	}
	return message
}

// message returns the message about a request, nil if nothing is known.
func (r *registry) message(fingerprint string) *quarantinepb.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	if known == nil {
		return nil
	}
	return r.encode(known)
}

// merge adds what another daemon or the store knows about a request, as of age ago. It reports whether
// anything was new.
func (r *registry) merge(fingerprint string, message *quarantinepb.Record, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(message.Crashes) == 0 && r.records[fingerprint] == nil {
		return false
	}
	ago := func(ms int64) time.Time { return r.now().Add(-age - time.Duration(max(ms, 0))*time.Millisecond) }
	known := r.get(fingerprint)
	changed := message.Cleared && known.clear(ago(message.ClearedAgeMs))
	for _, c := range message.Crashes {
		at := ago(c.AgeMs)
		if r.now().Sub(at) <= recordLifetime && known.addCrash(incarnation{c.Replica, c.StartedMs}, at) {
			changed = true
		}
	}
	if len(known.crashes) == 0 && known.clearedAt.IsZero() {
		delete(r.records, fingerprint)
	}
	return changed
}

// Name implements gossip.Topic.
func (r *registry) Name() string { return "crashing-requests" }

// Facts implements gossip.Topic.
func (r *registry) Facts() []gossip.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	facts := make([]gossip.Fact, 0, len(r.records))
	for fingerprint, known := range r.records {
		value, err := proto.Marshal(r.encode(known))
		if err != nil {
			continue // a replica ID that is not valid UTF-8
		}
		facts = append(facts, gossip.Fact{Key: fingerprint, Value: value})
	}
	return facts
}

// Digest implements gossip.Topic. It covers the crashes that count only: that a request was cleared
// matters only to a daemon that still knows crashes.
func (r *registry) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var texts []string
	for fingerprint, known := range r.records {
		if len(known.crashes) == 0 {
			continue
		}
		parts := make([]string, 0, len(known.crashes))
		for of := range known.crashes {
			parts = append(parts, of.replica+" "+strconv.FormatInt(of.startedMs, 10))
		}
		slices.Sort(parts)
		texts = append(texts, fingerprint+" "+strings.Join(parts, ","))
	}
	return gossip.Digest(texts)
}

// Merge implements gossip.Topic.
func (r *registry) Merge(facts []gossip.Fact) bool {
	changed := false
	for _, f := range facts {
		message := &quarantinepb.Record{}
		if proto.Unmarshal(f.Value, message) != nil {
			continue // of another version
		}
		changed = r.merge(f.Key, message, f.Age) || changed
	}
	return changed
}
