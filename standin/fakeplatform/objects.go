package fakeplatform

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/platform"
)

const objectsPath = "/v1/objects/"

type wireObject struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

type wireSnapshot struct {
	Revision int64        `json:"revision"`
	Objects  []wireObject `json:"objects"`
}

// condition is what must hold of the current version for a write; nil is none.
type condition func(current int64) bool

// Put writes an object without a condition, as a test's setup does.
func (s *Server) Put(key string, value []byte) platform.Object {
	object, _ := s.write(key, value, nil)
	return object
}

// Object returns the object at key and whether it exists.
func (s *Server) Object(key string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	return object, ok
}

// Objects returns the objects whose key starts with prefix, ordered by key.
func (s *Server) Objects(prefix string) []platform.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.under(prefix)
}

func (s *Server) under(prefix string) []platform.Object {
	var found []platform.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// write stores value if the condition holds of the current version, 0 for a missing
// object. It returns the object after the call and whether it was written.
func (s *Server) write(key string, value []byte, holds condition) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if holds != nil && !holds(current.Version) {
		return current, false
	}
	s.revision++
	object := platform.Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = object
	s.record(wireChange{Revision: s.revision, Key: key, Version: s.revision, Value: value})
	return object, true
}

func (s *Server) remove(key string, holds condition) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[key]
	if !exists || holds != nil && !holds(current.Version) {
		return current, false
	}
	s.revision++
	delete(s.objects, key)
	s.record(wireChange{Revision: s.revision, Key: key, Version: s.revision, Deleted: true})
	return current, true
}

// record appends a change and wakes the watches. The caller holds the lock.
func (s *Server) record(change wireChange) {
	s.changes = append(s.changes, change)
	if extra := len(s.changes) - s.config.KeepChanges; extra > 0 {
		s.compacted = s.changes[extra-1].Revision
		s.changes = append([]wireChange(nil), s.changes[extra:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls.Lists++
	answer := wireSnapshot{Revision: s.revision, Objects: []wireObject{}}
	for _, o := range s.under(r.URL.Query().Get("prefix")) {
		answer.Objects = append(answer.Objects, wireObject(o))
	}
	s.mu.Unlock()
	writeJSON(w, answer)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Gets++ })
	object, ok := s.Object(keyOf(r))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	setVersion(w, object.Version)
	_, _ = w.Write(object.Value)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(value) > platform.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	holds, ok := conditionOf(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	object, written := s.write(keyOf(r), value, holds)
	s.loseAnswer(written)
	setVersion(w, object.Version)
	if !written {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	s.count(func(c *Calls) { c.Writes++ })
	holds, ok := conditionOf(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	object, removed := s.remove(keyOf(r), holds)
	s.loseAnswer(removed)
	switch {
	case removed:
		w.WriteHeader(http.StatusNoContent)
	case object.Version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		setVersion(w, object.Version)
		w.WriteHeader(http.StatusPreconditionFailed)
	}
}

// conditionOf reads the conditional headers; false when they can't be read.
func conditionOf(r *http.Request) (condition, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return func(current int64) bool { return current == 0 }, true
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return nil, true
	}
	version, err := strconv.ParseInt(match, 10, 64)
	if err != nil {
		return nil, false
	}
	return func(current int64) bool { return current == version }, true
}

func keyOf(r *http.Request) string { return strings.TrimPrefix(r.URL.Path, objectsPath) }

func setVersion(w http.ResponseWriter, version int64) {
	w.Header().Set("X-Version", strconv.FormatInt(version, 10))
}
