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

// pageSize is the maximum number of objects in one list response.
const pageSize = 500

// storedObject is an object in the store.
type storedObject struct {
	kind, name string
	version    int64 // store-wide revision of the last write
	spec       json.RawMessage
	status     json.RawMessage
}

// toObject returns the object in the form of package objectapi.
func (o storedObject) toObject() objectapi.Object {
	return objectapi.Object{Key: platform.JoinKey(o.kind, o.name), Version: o.version, Value: platform.DecodeValue(o.spec)}
}

// metadata and object are the wire format of an object; page is that of a list response.
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

func (o storedObject) toWire() object {
	return object{Metadata: metadata{Name: o.name, Revision: o.version, Finalizers: []string{}}, Spec: o.spec, Status: o.status}
}

type page struct {
	Items     []object
	Truncated bool
	AsOf      int64
}

// condition reports whether a write may proceed, given the object's current version. The version
// is 0 if the object does not exist. A nil condition always holds.
type condition func(current int64) bool

func ifAbsent(current int64) bool { return current == 0 }

// Put writes an object unconditionally. It is meant for the setup of tests.
func (s *Server) Put(key string, value []byte) objectapi.Object {
	spec, err := platform.EncodeValue(value)
	if err != nil {
		panic(err)
	}
	return s.PutSpec(key, spec)
}

// PutSpec unconditionally writes the JSON spec of an object, as operators, trainers and replicas
// do.
func (s *Server) PutSpec(key string, spec json.RawMessage) objectapi.Object {
	kind, name := platform.SplitObjectKey(key)
	written, _ := s.write(kind, name, spec, nil)
	return written.toObject()
}

// Remove deletes an object unconditionally.
func (s *Server) Remove(key string) { s.remove(key, func(int64) bool { return true }) }

// Object returns the object at key and whether it exists.
func (s *Server) Object(key string) (objectapi.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o.toObject(), ok
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
			found = append(found, o.toObject())
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// write stores spec if cond holds. It returns the object after the call and whether cond held.
// A write that changes nothing keeps the revision.
func (s *Server) write(kind, name string, spec json.RawMessage, cond condition) (storedObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := platform.JoinKey(kind, name)
	current := s.objects[key]
	if cond != nil && !cond(current.version) {
		return current, false
	}
	if current.version > 0 && string(current.spec) == string(spec) {
		return current, true
	}
	s.revision++
	o := storedObject{kind: kind, name: name, version: s.revision, spec: spec, status: current.status}
	s.objects[key] = o
	s.recordChange(change{object: o})
	return o, true
}

// remove deletes an object if it exists and cond holds. It returns the object before the call
// and whether it was deleted.
func (s *Server) remove(key string, cond condition) (storedObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[key]
	if !exists || cond != nil && !cond(current.version) {
		return current, false
	}
	s.revision++
	delete(s.objects, key)
	tombstone := current
	tombstone.version = s.revision
	s.recordChange(change{object: tombstone, deleted: true})
	return current, true
}

// recordChange appends a change, removes the oldest changes beyond Config.KeepChanges and wakes
// the watches. The caller holds s.mu.
func (s *Server) recordChange(c change) {
	s.changes = append(s.changes, c)
	if excess := len(s.changes) - s.config.KeepChanges; excess > 0 {
		s.compactedRevision = s.changes[excess-1].object.version
		s.changes = append([]change(nil), s.changes[excess:]...)
	}
	close(s.changedCh)
	s.changedCh = make(chan struct{})
}

// getKind lists the objects of a kind, or waits for their changes if the query has Watch.
func (s *Server) getKind(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("Watch") {
		s.watchKind(w, r)
		return
	}
	kind, after := chi.URLParam(r, "kind"), r.URL.Query().Get("After")
	s.mu.Lock()
	s.calls.Lists++
	list := page{AsOf: s.revision, Items: []object{}}
	for _, o := range s.objects {
		if o.kind == kind && o.name > after {
			list.Items = append(list.Items, o.toWire())
		}
	}
	s.mu.Unlock()
	sort.Slice(list.Items, func(i, j int) bool { return list.Items[i].Metadata.Name < list.Items[j].Metadata.Name })
	if len(list.Items) > pageSize {
		list.Items, list.Truncated = list.Items[:pageSize], true
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *CallCounts) { c.Gets++ })
	s.mu.Lock()
	o, ok := s.objects[keyOf(r)]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o.toWire())
}

// maxSpecBytes bounds the spec of an object, as it was sent: a value of MaxValueBytes in quotes.
const maxSpecBytes = objectapi.MaxValueBytes + 2

// readObject decodes the body of a write. If that fails or the object is too large, it responds with status 400
// or 413 and returns false.
func readObject(w http.ResponseWriter, r *http.Request) (object, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 8*objectapi.MaxValueBytes))
	var o object
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return object{}, false
	}
	if len(o.Spec) > maxSpecBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return object{}, false
	}
	return o, true
}

func (s *Server) createObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *CallCounts) { c.Writes++ })
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	current, written := s.write(chi.URLParam(r, "kind"), o.Metadata.Name, o.Spec, ifAbsent)
	s.respondToWrite(w, current, written)
}

func (s *Server) replaceObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *CallCounts) { c.Writes++ })
	o, ok := readObject(w, r)
	if !ok {
		return
	}
	if _, exists := s.Object(keyOf(r)); !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	current, written := s.write(chi.URLParam(r, "kind"), chi.URLParam(r, "name"), o.Spec, ifRevision(o.Metadata.Revision))
	s.respondToWrite(w, current, written)
}

func (s *Server) replaceStatus(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *CallCounts) { c.Writes++ })
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
		s.recordChange(change{object: current})
	}
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.respondToWrite(w, current, true)
}

// respondToWrite responds with the object, and with status 409 if it was not written.
func (s *Server) respondToWrite(w http.ResponseWriter, o storedObject, written bool) {
	s.loseResponse(written)
	status := http.StatusOK
	if !written {
		status = http.StatusConflict
	}
	writeJSON(w, status, o.toWire())
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *CallCounts) { c.Writes++ })
	revision, err := strconv.ParseInt(r.URL.Query().Get("Revision"), 10, 64)
	if err != nil && r.URL.Query().Has("Revision") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, removed := s.remove(keyOf(r), ifRevision(revision))
	s.loseResponse(removed)
	switch {
	case removed:
		writeJSON(w, http.StatusOK, o.toWire())
	case o.version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusConflict, o.toWire())
	}
}

// ifRevision returns the condition that the object has the given revision, nil for revision 0.
func ifRevision(revision int64) condition {
	if revision == 0 {
		return nil
	}
	return func(current int64) bool { return current == revision }
}

func keyOf(r *http.Request) string {
	return platform.JoinKey(chi.URLParam(r, "kind"), chi.URLParam(r, "name"))
}
