package fakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/hornbeamtide/hornbeamtide/objectapi"
	"github.com/hornbeamtide/hornbeamtide/platform"
)

// pageSize is how many objects one answer lists.
const pageSize = 500

// stored is an object as the store keeps it.
type stored struct {
	kind, name string
	version    int64 // store-wide revision of the last write
	spec       json.RawMessage
	status     json.RawMessage
}

func (o stored) neutral() objectapi.Object {
	return objectapi.Object{Key: platform.JoinKey(o.kind, o.name), Version: o.version, Value: platform.DecodeValue(o.spec)}
}

type metadata struct {
	Name       string
	Revision   int64
	CreatedRev int64
	Finalizers []string
	Deleting   bool
}

type object struct {
	Metadata metadata
	Spec     json.RawMessage
	Status   json.RawMessage
}

func (o stored) wire() object {
	return object{Metadata: metadata{Name: o.name, Revision: o.version, Finalizers: []string{}}, Spec: o.spec, Status: o.status}
}

type page struct {
	Items     []object
	Truncated bool
	AsOf      int64
}

// condition is what must hold of the current version, 0 for a missing object, for a
// write; nil is none.
type condition func(current int64) bool

func absent(current int64) bool { return current == 0 }

// Put writes an object without a condition, as a test's setup does.
func (s *Server) Put(key string, value []byte) objectapi.Object {
	spec, err := platform.EncodeValue(value)
	if err != nil {
		panic(err)
	}
	return s.PutSpec(key, spec)
}

// PutSpec writes the JSON text of an object as operators, trainers and replicas do.
func (s *Server) PutSpec(key string, spec json.RawMessage) objectapi.Object {
	kind, name := platform.ObjectOf(key)
	written, _ := s.write(kind, name, spec, nil)
	return written.neutral()
}

// Remove deletes an object.
func (s *Server) Remove(key string) { s.remove(key, func(int64) bool { return true }) }

// Object returns the object at key and whether it exists.
func (s *Server) Object(key string) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o.neutral(), ok
}

// Status returns the status of the object at key, nil if there is none.
func (s *Server) Status(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key].status
}

// Objects returns the objects whose key starts with prefix, ordered by key.
func (s *Server) Objects(prefix string) []objectapi.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []objectapi.Object
	for key, o := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, o.neutral())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// write stores spec if the condition holds. It returns the object after the call and
// whether it was written. A write that changes nothing keeps the revision.
func (s *Server) write(kind, name string, spec json.RawMessage, holds condition) (stored, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := platform.JoinKey(kind, name)
	current := s.objects[key]
	if holds != nil && !holds(current.version) {
		return current, false
	}
	if current.version > 0 && string(current.spec) == string(spec) {
		return current, true
	}
	s.revision++
	o := stored{kind: kind, name: name, version: s.revision, spec: spec, status: current.status}
	s.objects[key] = o
	s.record(change{object: o})
	return o, true
}

func (s *Server) remove(key string, holds condition) (stored, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[key]
	if !exists || holds != nil && !holds(current.version) {
		return current, false
	}
	s.revision++
	delete(s.objects, key)
	gone := current
	gone.version = s.revision
	s.record(change{object: gone, deleted: true})
	return current, true
}

// record appends a change and wakes the watches. The caller holds the lock.
func (s *Server) record(c change) {
	s.changes = append(s.changes, c)
	if extra := len(s.changes) - s.config.KeepChanges; extra > 0 {
		s.compacted = s.changes[extra-1].object.version
		s.changes = append([]change(nil), s.changes[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// getKind lists a kind of objects, or waits for its changes.
func (s *Server) getKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("Watch") {
		s.watchKind(w, r)
		return
	}
	kind, after := chi.URLParam(r, "kind"), r.URL.Query().Get("After")
	s.mu.Lock()
	s.calls.Lists++
	answer := page{AsOf: s.revision, Items: []object{}}
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			answer.Items = append(answer.Items, o.wire())
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Metadata.Name < answer.Items[j].Metadata.Name })
	if len(answer.Items) > pageSize {
		answer.Items, answer.Truncated = answer.Items[:pageSize], true
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Gets++ })
	s.mu.Lock()
	o, ok := s.objects[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o.wire())
}

// readObject reads the body of a write; false when it was refused.
func readObject(w http.ResponseWriter, r *http.Request) (object, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*objectapi.MaxValueBytes))
	var o object
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return object{}, false
	}
	return o, true
}

func (s *Server) createObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	written, done := s.write(chi.URLParam(r, "kind"), o.Metadata.Name, o.Spec, absent)
	s.answerWrite(w, written, done)
}

func (s *Server) replaceObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	if _, exists := s.Object(keyOf(r)); !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	written, done := s.write(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), o.Spec, atRevision(o.Metadata.Revision))
	s.answerWrite(w, written, done)
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	current, exists := s.objects[keyOf(r)]
	if exists {
		s.revision++
		current.status, current.version = o.Status, s.revision
		s.objects[keyOf(r)] = current
		s.record(change{object: current})
	}
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.answerWrite(w, current, true)
}

func (s *Server) answerWrite(w http.ResponseWriter, o stored, written bool) {
	s.loseAnswer(written)
	status := http.StatusOK
	if !written {
		status = http.StatusConflict
	}
	writeJSON(w, status, o.wire())
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	revision, err := strconv.ParseInt(r.URL.Query().Get("Revision"), 10, 64)
	if err != nil && r.URL.Query().Has("Revision") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, removed := s.remove(keyOf(r), atRevision(revision))
	s.loseAnswer(removed)
	switch {
	case removed:
		writeJSON(w, http.StatusOK, o.wire())
	case o.version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusConflict, o.wire())
	}
}

// atRevision is the condition of a write that names a revision, none for 0.
func atRevision(revision int64) condition {
	if revision == 0 {
		return nil
	}
	return func(current int64) bool { return current == revision }
}

func keyOf(r *http.Request) string {
	return platform.JoinKey(chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
}
