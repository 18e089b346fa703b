package fakeplatform

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

// change is one entry of the store's history.
type change struct {
	object  stored
	deleted bool
}

type event struct {
	Deleted bool
	Object  object
}

type events struct {
	Events []event `json:"events"`
	AsOf   int64
}

// watchEpoch holds the channels that end or silence the watches open now.
type watchEpoch struct {
	cut     chan struct{} // closed: the connections end
	silence chan struct{} // closed: the connections stay open and carry nothing more
}

func newWatchEpoch() watchEpoch {
	return watchEpoch{cut: make(chan struct{}), silence: make(chan struct{})}
}

// watchKind answers as soon as there are changes of the kind, or when the wait is over.
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
		s.calls.Instances++
	}
	s.calls.Waiting++
	epoch := s.epoch
	s.mu.Unlock()
	defer s.count(func(c *Calls) { c.Waiting-- })
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		found, revision, changed, ok := s.changesAfter(chi.URLParam(r, "kind"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(found) > 0 || over {
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
		case <-end.C:
			over = true
		case <-changed:
		}
	}
}

// changesAfter returns the changes of a kind after a revision, the revision that they
// lead to, a channel closed at the next change, and whether none were lost.
func (s *Server) changesAfter(kind string, after int64) ([]event, int64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].object.version > after })
	found := []event{}
	for _, c := range s.changes[first:] {
		if c.object.kind == kind {
			found = append(found, event{Deleted: c.deleted, Object: c.object.wire()})
		}
	}
	return found, s.revision, s.changed, true
}
