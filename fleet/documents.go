package fleet

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/event"
)

// documentPrefix is the object key prefix of service documents.
const documentPrefix = "documents/"

// versionHistory is how many accepted versions of a document are remembered.
const versionHistory = 16

// parseFunc has the signature of document.Parse.
type parseFunc func(name string, source []byte) (*document.Document, error)

// revision is one accepted version of a service's document.
type revision struct {
	Service  string
	Version  int64
	Source   []byte
	Deleted  bool
	Accepted time.Time // when a daemon first saw it
}

// entry is what is known of one service's document.
type entry struct {
	newest  revision
	inForce document.Versioned // without Document if deleted or never parsed
	history []revision         // accepted versions, without source, ordered by version
}

// documentSet holds the documents in force. A document is only ever replaced by one
// of a higher object version.
type documentSet struct {
	parse parseFunc
	log   *event.Logger

	mu      sync.Mutex
	entries map[string]*entry
	asOf    int64         // every document change up to this store revision is known
	newest  int64         // version of the newest change up to asOf
	known   bool          // a whole set was received
	changed chan struct{} // closed at the next change
}

func newDocumentSet(parse parseFunc, log *event.Logger) *documentSet {
	return &documentSet{parse: parse, log: log, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// offer applies a revision if it is higher than the newest known one of its service.
// It reports whether it was.
func (d *documentSet) offer(r revision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.apply(r) {
		return false
	}
	d.notify()
	return true
}

// offerAll applies revisions and then records that the set is complete up to a store
// revision.
func (d *documentSet) offerAll(revisions []revision, asOf int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := false
	for _, r := range revisions {
		applied = d.apply(r) || applied
	}
	if d.advance(asOf) || applied {
		d.notify()
	}
}

// advance records that the set is complete up to a store revision. It reports whether
// the head changed. The caller holds the lock.
func (d *documentSet) advance(asOf int64) bool {
	if asOf <= d.asOf {
		return false
	}
	before := d.newest
	d.asOf = asOf
	for _, e := range d.entries {
		if e.newest.Version <= asOf {
			d.newest = max(d.newest, e.newest.Version)
		}
	}
	return d.newest != before
}

// offerWhole applies a whole set as of a store revision: services that are missing
// from names were deleted no later than that.
func (d *documentSet) offerWhole(names []string, revisions []revision, asOf int64, now time.Time) {
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	d.offerAll(append(revisions, d.missing(present, asOf, now)...), asOf)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = true
}

// missing returns the deletions that a whole set as of an object version implies.
func (d *documentSet) missing(present map[string]bool, asOf int64, now time.Time) []revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var deletions []revision
	for service, e := range d.entries {
		if !present[service] && !e.newest.Deleted && e.newest.Version < asOf {
			deletions = append(deletions, revision{Service: service, Version: asOf, Deleted: true, Accepted: now})
		}
	}
	return deletions
}

// apply puts r in force if it is newer. The caller holds the lock.
func (d *documentSet) apply(r revision) bool {
	e := d.entries[r.Service]
	if e == nil {
		e = &entry{}
		d.entries[r.Service] = e
	}
	if r.Version <= e.newest.Version {
		return false
	}
	e.newest = r
	e.remember(r)
	if r.Version <= d.asOf {
		d.newest = max(d.newest, r.Version)
	}
	if r.Deleted {
		e.inForce = document.Versioned{Version: r.Version}
		return true
	}
	parsed, err := d.parse(r.Service, r.Source)
	if err != nil {
		d.log.Log(event.DocumentRefused, event.F("service", r.Service), event.F("version", r.Version), event.Err(err))
		return true
	}
	e.inForce = document.Versioned{Document: parsed, Version: r.Version, Source: r.Source}
	d.log.Log(event.DocumentInForce, event.F("service", r.Service), event.F("version", r.Version))
	return true
}

func (e *entry) remember(r revision) {
	r.Source = nil
	e.history = append(e.history, r)
	if len(e.history) > versionHistory {
		e.history = e.history[1:]
	}
}

// versionAt returns the newest version of the document that is not after an object
// version, 0 if there was none.
func (e *entry) versionAt(complete int64) int64 {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].Version <= complete {
			return e.history[i].Version
		}
	}
	return 0
}

// versionAt returns the newest version of a service's document that is not after an
// object version, 0 if there was none.
func (d *documentSet) versionAt(service string, head int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[service]; e != nil {
		return e.versionAt(head)
	}
	return 0
}

func (d *documentSet) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// changes returns the newest revisions after an object version, ordered by version.
func (d *documentSet) changes(after int64) []revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []revision
	for _, e := range d.entries {
		if e.newest.Version > after {
			found = append(found, e.newest)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found
}

// whole returns the services that have a document as of a store revision, 0 if no
// whole set was received.
func (d *documentSet) whole() ([]string, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.known {
		return nil, 0
	}
	var names []string
	for service, e := range d.entries {
		if !e.newest.Deleted {
			names = append(names, service)
		}
	}
	sort.Strings(names)
	return names, d.asOf
}

// head returns the version of the newest document change up to which every change
// is known. Unlike asOf it stays the same while no document changes.
func (d *documentSet) head() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newest
}

// completeTo returns the store revision up to which every change is known.
func (d *documentSet) completeTo() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asOf
}

// ready reports whether a whole set was received.
func (d *documentSet) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// exceptions returns the versions in force that head does not tell: older ones of
// documents that could not be read, and ones after head.
func (d *documentSet) exceptions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var exceptions map[string]int64
	for service, e := range d.entries {
		if e.inForce.Version == e.newest.Version && e.inForce.Version <= d.newest {
			continue
		}
		if exceptions == nil {
			exceptions = map[string]int64{}
		}
		exceptions[service] = e.inForce.Version
	}
	return exceptions
}

// highest returns the highest version of any document.
func (d *documentSet) highest() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest := d.newest
	for _, e := range d.entries {
		highest = max(highest, e.newest.Version)
	}
	return highest
}

// Document implements Documents.
func (m *Manager) Document(service string) (document.Versioned, bool) {
	m.documents.mu.Lock()
	defer m.documents.mu.Unlock()
	e := m.documents.entries[service]
	if e == nil || e.inForce.Document == nil {
		return document.Versioned{}, false
	}
	return e.inForce, true
}

// All implements Documents.
func (m *Manager) All() []document.Versioned {
	m.documents.mu.Lock()
	defer m.documents.mu.Unlock()
	all := make([]document.Versioned, 0, len(m.documents.entries))
	for _, e := range m.documents.entries {
		if e.inForce.Document != nil {
			all = append(all, e.inForce)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Document.Service < all[j].Document.Service })
	return all
}

// Changed implements Documents.
func (m *Manager) Changed() <-chan struct{} {
	m.documents.mu.Lock()
	defer m.documents.mu.Unlock()
	return m.documents.changed
}

func documentKey(service string) string { return documentPrefix + service }

func serviceOf(key string) string { return strings.TrimPrefix(key, documentPrefix) }
