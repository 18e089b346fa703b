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

// maxVersionHistory is the number of accepted versions to keep for each document.
const maxVersionHistory = 16

// parseFunc has the signature of document.Parse.
type parseFunc func(name string, source []byte) (*document.Document, error)

// documentRevision is one accepted version of a service's document, or its deletion.
type documentRevision struct {
	Service    string
	Version    int64
	Source     []byte
	Deleted    bool
	AcceptedAt time.Time // when a daemon first saw it
}

// entry is the state of one service's document.
type entry struct {
	newest  documentRevision
	inForce document.VersionedDocument // Document is nil if deleted or never parsed
	history []documentRevision         // accepted versions, without source, ordered by version
}

// documentSet holds the newest known revisions of the documents and those in force. A
// document is replaced only by one with a higher object version.
type documentSet struct {
	parse parseFunc
	log   *event.Logger

	mu               sync.Mutex
	entries          map[string]*entry
	completeRevision int64         // store revision up to which all document changes are known
	headVersion      int64         // version of the newest change up to completeRevision
	complete         bool          // whether a complete set was received
	changed          chan struct{} // closed at the next change
}

func newDocumentSet(parse parseFunc, log *event.Logger) *documentSet {
	return &documentSet{parse: parse, log: log, entries: map[string]*entry{}, changed: make(chan struct{})}
}

// apply applies a revision if it is newer than the newest known one of its service, and
// reports whether it did.
func (d *documentSet) apply(r documentRevision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.applyLocked(r) {
		return false
	}
	d.notifyLocked()
	return true
}

// applyAll applies revisions and then records that all changes up to store revision asOf
// are known.
func (d *documentSet) applyAll(revisions []documentRevision, asOf int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := false
	for _, r := range revisions {
		applied = d.applyLocked(r) || applied
	}
	if d.advanceLocked(asOf) || applied {
		d.notifyLocked()
	}
}

// advanceLocked records that all changes up to store revision asOf are known, and reports
// whether the head changed. The caller holds the lock.
func (d *documentSet) advanceLocked(asOf int64) bool {
	if asOf <= d.completeRevision {
		return false
	}
	before := d.headVersion
	d.completeRevision = asOf
	for _, e := range d.entries {
		if e.newest.Version <= asOf {
			d.headVersion = max(d.headVersion, e.newest.Version)
		}
	}
	return d.headVersion != before
}

// applyComplete applies a complete set as of a store revision: a service that is missing
// from names was deleted at or before that revision.
func (d *documentSet) applyComplete(names []string, revisions []documentRevision, asOf int64, now time.Time) {
	present := make(map[string]bool, len(names))
	for _, name := range names {
		present[name] = true
	}
	d.applyAll(append(revisions, d.impliedDeletions(present, asOf, now)...), asOf)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = true
}

// impliedDeletions returns deletions of the services that a complete set as of asOf lacks.
func (d *documentSet) impliedDeletions(present map[string]bool, asOf int64, now time.Time) []documentRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var deletions []documentRevision
	for service, e := range d.entries {
		if !present[service] && !e.newest.Deleted && e.newest.Version < asOf {
			deletions = append(deletions, documentRevision{Service: service, Version: asOf, Deleted: true, AcceptedAt: now})
		}
	}
	return deletions
}

// applyLocked records r and puts it in force if it is newer than the newest known revision.
// A revision that can't be parsed leaves the older version in force. The caller holds the
// lock.
func (d *documentSet) applyLocked(r documentRevision) bool {
	e := d.entries[r.Service]
	if e == nil {
		e = &entry{}
		d.entries[r.Service] = e
	}
	if r.Version <= e.newest.Version {
		return false
	}
	e.newest = r
	e.addToHistory(r)
	if r.Version <= d.completeRevision {
		d.headVersion = max(d.headVersion, r.Version)
	}
	if r.Deleted {
		e.inForce = document.VersionedDocument{Version: r.Version}
		return true
	}
	parsed, err := d.parse(r.Service, r.Source)
	if err != nil {
		d.log.Log(event.DocumentRefused, event.F("service", r.Service), event.F("version", r.Version), event.Err(err))
		return true
	}
	e.inForce = document.VersionedDocument{Document: parsed, Version: r.Version, Source: r.Source}
	d.log.Log(event.DocumentInForce, event.F("service", r.Service), event.F("version", r.Version))
	return true
}

func (e *entry) addToHistory(r documentRevision) {
	r.Source = nil
	e.history = append(e.history, r)
	if len(e.history) > maxVersionHistory {
		e.history = e.history[1:]
	}
}

// versionAt returns the newest known version of the document at or before head, 0 if there
// is none.
func (e *entry) versionAt(head int64) int64 {
	for i := len(e.history) - 1; i >= 0; i-- {
		if e.history[i].Version <= head {
			return e.history[i].Version
		}
	}
	return 0
}

// versionAt returns the newest known version of a service's document at or before head, 0 if
// there is none.
func (d *documentSet) versionAt(service string, head int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e := d.entries[service]; e != nil {
		return e.versionAt(head)
	}
	return 0
}

func (d *documentSet) notifyLocked() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// changes returns the newest revision of each document that changed after an object version,
// ordered by version.
func (d *documentSet) changes(after int64) []documentRevision {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []documentRevision
	for _, e := range d.entries {
		if e.newest.Version > after {
			found = append(found, e.newest)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
	return found
}

// completeSet returns the services that have a document and the store revision up to which
// the set is complete, or 0 if no complete set was received.
func (d *documentSet) completeSet() ([]string, int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.complete {
		return nil, 0
	}
	var names []string
	for service, e := range d.entries {
		if !e.newest.Deleted {
			names = append(names, service)
		}
	}
	sort.Strings(names)
	return names, d.completeRevision
}

// head returns the version of the newest document change up to completeRevision. Unlike
// completeRevision, it does not change while no document changes.
func (d *documentSet) head() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.headVersion
}

// completeUpTo returns the store revision up to which all document changes are known.
func (d *documentSet) completeUpTo() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.completeRevision
}

// ready reports whether a complete set was received.
func (d *documentSet) ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.complete
}

// exceptions returns, by service, the versions in force that head does not imply: older
// versions of documents whose newest revision could not be parsed, and versions after head.
func (d *documentSet) exceptions() map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var exceptions map[string]int64
	for service, e := range d.entries {
		if e.inForce.Version == e.newest.Version && e.inForce.Version <= d.headVersion {
			continue
		}
		if exceptions == nil {
			exceptions = map[string]int64{}
		}
		exceptions[service] = e.inForce.Version
	}
	return exceptions
}

// highestVersion returns the highest version of any document.
func (d *documentSet) highestVersion() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest := d.headVersion
	for _, e := range d.entries {
		highest = max(highest, e.newest.Version)
	}
	return highest
}

// Document implements Documents.
func (m *Manager) Document(service string) (document.VersionedDocument, bool) {
	m.documents.mu.Lock()
	defer m.documents.mu.Unlock()
	e := m.documents.entries[service]
	if e == nil || e.inForce.Document == nil {
		return document.VersionedDocument{}, false
	}
	return e.inForce, true
}

// All implements Documents.
func (m *Manager) All() []document.VersionedDocument {
	m.documents.mu.Lock()
	defer m.documents.mu.Unlock()
	all := make([]document.VersionedDocument, 0, len(m.documents.entries))
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
