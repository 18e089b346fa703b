package fakeplatform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

type wireChange struct {
	Revision int64  `json:"revision"`
	Key      string `json:"key,omitempty"`
	Version  int64  `json:"version,omitempty"`
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	Bookmark bool   `json:"bookmark,omitempty"`
}

// watchEpoch holds the channels that end or silence the watches open now.
type watchEpoch struct {
	cut     chan struct{} // closed: the connections end
	silence chan struct{} // closed: the connections stay open and carry nothing more
}

func newWatchEpoch() watchEpoch {
	return watchEpoch{cut: make(chan struct{}), silence: make(chan struct{})}
}

// watchObjects streams the changes of a prefix, one JSON value a line.
func (s *Server) watchObjects(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	gone := after < s.compacted
	epoch := s.epoch
	if !gone {
		s.calls.Watches++
		s.calls.Waiting++
	}
	s.mu.Unlock()
	if gone {
		w.WriteHeader(http.StatusGone)
		return
	}
	defer s.count(func(c *Calls) { c.Waiting-- })
	s.stream(w, r, prefix, after, epoch)
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, prefix string, after int64, epoch watchEpoch) {
	encoder := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = flush.Flush()
	bookmark := time.NewTicker(s.config.BookmarkInterval)
	defer bookmark.Stop()
	for {
		pending, revision, changed, ok := s.changesAfter(prefix, after)
		if !ok {
			return
		}
		for _, change := range pending {
			if encoder.Encode(change) != nil {
				return
			}
		}
		after = revision
		if len(pending) > 0 && flush.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-epoch.cut:
			return
		case <-epoch.silence:
			<-r.Context().Done()
			return
		case <-bookmark.C:
			if encoder.Encode(wireChange{Revision: after, Bookmark: true}) != nil || flush.Flush() != nil {
				return
			}
		case <-changed:
		}
	}
}

// changesAfter returns the changes under prefix after a revision, the revision that
// they lead to, a channel closed at the next change, and whether none were lost.
func (s *Server) changesAfter(prefix string, after int64) ([]wireChange, int64, chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Revision > after })
	var found []wireChange
	for _, change := range s.changes[first:] {
		if strings.HasPrefix(change.Key, prefix) {
			found = append(found, change)
		}
	}
	return found, s.revision, s.changed, true
}
