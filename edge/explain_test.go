package edge

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/standin/fakereplica"
	"github.com/hornbeamtide/hornbeamtide/trace"
)

// lockedBuffer is a buffer for the log entries of several daemons.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// timeline returns what hornbeamtide trace prints for an ID.
func (l *lockedBuffer) timeline(t *testing.T, id string) string {
	t.Helper()
	l.mu.Lock()
	text := bytes.Clone(l.text.Bytes())
	l.mu.Unlock()
	entries, err := trace.Read(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := trace.BuildTimeline(id, entries).Print(&out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func withLog(s *testSystem) { s.log = &lockedBuffer{} }

// blockedWriter is an output whose writes block until the channel is closed.
type blockedWriter chan struct{}

// Write implements io.Writer.
func (b blockedWriter) Write(line []byte) (int, error) {
	<-b
	return len(line), nil
}

func TestUnreadLogDoesNotBlockRequests(t *testing.T) {
	t.Parallel()
	output := make(blockedWriter)
	s := newTestSystem(t, 1, func(s *testSystem) { s.log = output })
	t.Cleanup(func() { close(output) }) // before the daemon stops
	const callers, requests = 8, 500
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := range requests {
				id := fmt.Sprintf("r-%d-%d", c, n)
				if got := s.daemons[0].call("POST", plainPath+id, id, nil); got.status != http.StatusOK {
					t.Errorf("response %+v", got)
				}
			}
		})
	}
	group.Wait()
	// Each request logs two lines; most exceed the rate limit of their event and are counted
	// as skipped.
	if skipped := s.daemons[0].log.Skipped(); skipped < callers*requests {
		t.Errorf("only %d lines skipped", skipped)
	}
}

var (
	caseHeading = regexp.MustCompile(`(?m)^#### `)
	traceLine   = regexp.MustCompile(`(?m)^ +[+-]\d+\.\d+s +(-? *)\S+ +(\d+) (.*)$`)
)

// documentedEvents returns the event numbers in the example of a case in docs/OPERATIONS.md,
// except the lines marked with "-", which are only context.
func documentedEvents(t *testing.T, title string) []string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, section := range caseHeading.Split(string(page), -1) {
		if !strings.HasPrefix(section, title+"\n") {
			continue
		}
		var numbers []string
		for _, line := range traceLine.FindAllStringSubmatch(section, -1) {
			if strings.TrimSpace(line[1]) == "" {
				numbers = append(numbers, line[2])
			}
		}
		if len(numbers) == 0 {
			t.Fatalf("the case %q has no example", title)
		}
		return numbers
	}
	t.Fatalf("the page has no case %q", title)
	return nil
}

// checkTimeline waits until the timeline of an ID has all events of a documented case.
func (s *testSystem) checkTimeline(title, id string) {
	s.t.Helper()
	want := documentedEvents(s.t, title)
	var got string
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("the page has events %v, the timeline is\n%s", want, got)
		}
	})
	s.eventually("the timeline has the events of the page", func() bool {
		got = s.log.(*lockedBuffer).timeline(s.t, id)
		for _, number := range want {
			if !strings.Contains(got, " "+number+" ") {
				return false
			}
		}
		return true
	})
}

func TestRefusedRequestIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1, withLog)
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{Full: true})
	}
	if got := s.daemons[0].call("POST", plainPath+"x", "r-1", nil); got.status != http.StatusServiceUnavailable {
		t.Fatalf("response %+v", got)
	}
	s.checkTimeline("A request refused under load", "r-1")
}

func TestLateSampleIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3, withLog)
	body, ids := batchBody(1, 1)
	// Submit the batch to a daemon that does not run it; a first batch shows which one does.
	s.daemons[0].call("POST", itemPath+"x", "lot-0", bytes.ReplaceAll(body, []byte("item-"), []byte("probe-")))
	runner := s.runner("lot-0")
	s.checkComplete(s.readAll(runner, "lot-0"), []string{"probe-0-0", "probe-0-1"})
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Full: true})
	}
	s.otherDaemons(runner)[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("a replica refuses the item", func() bool {
		return strings.Contains(s.log.(*lockedBuffer).timeline(t, ids[0]), " 1503 ")
	})
	for _, replica := range s.modelReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: 150 * time.Millisecond})
	}
	s.eventually("the item runs", func() bool {
		return s.modelReplicas[0].Runs(ids[0])+s.modelReplicas[1].Runs(ids[0])+s.modelReplicas[2].Runs(ids[0]) > 0
	})
	runner.stop()
	for _, d := range s.otherDaemons(runner) {
		s.checkComplete(s.readAll(d, "lot-1"), ids)
		break
	}
	s.checkTimeline("A sample that came late", ids[0])
}

func TestLostResponseIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1, withLog)
	for _, replica := range s.plainReplicas {
		replica.SetFaults(fakereplica.Faults{Delay: time.Second})
	}
	if got := s.daemons[0].call("POST", plainPath+"x", "r-1", nil, "Deadline-Ms", "300"); got.status != http.StatusGatewayTimeout {
		t.Fatalf("response %+v", got)
	}
	s.checkTimeline("A request whose answer was lost", "r-1")
}
