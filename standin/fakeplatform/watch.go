package fakeplatform

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// change is an entry of the store's change history.
type change struct {
	object  storedObject
	deleted bool
}

// event and events are the wire format of the response to a watch.
type event struct {
	Deleted bool
	Object  object
}

type events struct {
	Events []event `json:"events"`
	AsOf   int64
}

// watchEpoch holds the channels that end or silence the open watches. SetFaults closes a channel
// and replaces it for later watches.
type watchEpoch struct {
	cut     chan struct{} // closed to close the connections without a response
	silence chan struct{} // closed to leave the connections open without a response
}

func newWatchEpoch() watchEpoch {
	return watchEpoch{cut: make(chan struct{}), silence: make(chan struct{})}
}

// watchKind responds as soon as there are changes of the kind, or after the requested wait. It
// responds with status 410 if the changes after the given revision are no longer kept.
func (s *Server) watchKind(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("Watch"), 10, 64)
	wait, waitErr := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls.Watches++
	if isInstanceKind(r.URL.Path) {
		s.calls.InstanceWatches++
	}
	s.calls.OpenWatches++
	epoch := s.epoch
	s.mu.Unlock()
	defer s.count(func(c *CallCounts) { c.OpenWatches-- })
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		found, revision, changed, ok := s.changesAfter(chi.URLParam(r, "kind"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 || expired {
			writeJSON(w, http.StatusOK, events{Events: found, AsOf: revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-epoch.cut:
			panic(http.ErrAbortHandler)
		case <-epoch.silence:
			<-r.Context().Done()
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}

// changesAfter returns the changes of a kind after a revision, the store's current revision and
// a channel that is closed at the next change. It returns false if some of the changes are no
// longer kept.
func (s *Server) changesAfter(kind string, after int64) ([]event, int64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision {
		return nil, 0, nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].object.version > after })
	found := []event{}
	for _, c := range s.changes[first:] {
		if c.object.kind == kind {
			found = append(found, event{Deleted: c.deleted, Object: c.object.toWire()})
		}
	}
	return found, s.revision, s.changedCh, true
}
