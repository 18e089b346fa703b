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

// sharedLog takes the entries of several daemons.
type sharedLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *sharedLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// story is what hornbeamtide trace prints of an ID.
func (l *sharedLog) story(t *testing.T, id string) string {
	t.Helper()
	l.mu.Lock()
	text := bytes.Clone(l.text.Bytes())
	l.mu.Unlock()
	entries, err := trace.Read(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := trace.Tell(id, entries).Print(&out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func logged(s *site) { s.log = &sharedLog{} }

// neverRead is an output whose reader does not read until it is closed.
type neverRead chan struct{}

// Write implements io.Writer.
func (n neverRead) Write(line []byte) (int, error) {
	<-n
	return len(line), nil
}

func TestLogThatNobodyReadsHoldsNoRequestUp(t *testing.T) {
	t.Parallel()
	output := make(neverRead)
	s := newSite(t, 1, func(s *site) { s.log = output })
	t.Cleanup(func() { close(output) }) // before the daemon stops
	const callers, requests = 8, 500
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for n := range requests {
				id := fmt.Sprintf("r-%d-%d", c, n)
				if got := s.daemons[0].call("POST", plainPath+id, id, nil); got.status != http.StatusOK {
					t.Errorf("answer %+v", got)
				}
			}
		})
	}
	group.Wait()
	// Two lines a request: most are beyond the rate of their event, all are accounted for.
	if skipped := s.daemons[0].log.Skipped(); skipped < callers*requests {
		t.Errorf("%d lines left out", skipped)
	}
}

var (
	caseHeading = regexp.MustCompile(`(?m)^#### `)
	traceLine   = regexp.MustCompile(`(?m)^ +[+-]\d+\.\d+s +(-? *)\S+ +(\d+) (.*)$`)
)

// pageLines are the event numbers in the example of a case on the page, without those that tell only of what happened beside it.
func pageLines(t *testing.T, title string) []string {
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

// checkStory waits until the story has all kinds of lines of the page.
func (s *site) checkStory(title, id string) {
	s.t.Helper()
	want := pageLines(s.t, title)
	var told string
	s.t.Cleanup(func() {
		if s.t.Failed() {
			s.t.Logf("the page has %v, the story is\n%s", want, told)
		}
	})
	s.eventually("the story has the lines of the page", func() bool {
		told = s.log.(*sharedLog).story(s.t, id)
		for _, number := range want {
			if !strings.Contains(told, " "+number+" ") {
				return false
			}
		}
		return true
	})
}

func TestRefusedRequestIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, logged)
	for _, desk := range s.desks {
		desk.SetFaults(fakereplica.Faults{Full: true})
	}
	if got := s.daemons[0].call("POST", plainPath+"x", "r-1", nil); got.status != http.StatusServiceUnavailable {
		t.Fatalf("answer %+v", got)
	}
	s.checkStory("A request refused under load", "r-1")
}

func TestLateSampleIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3, logged)
	body, ids := submission(1, 1)
	// The batch is submitted to another daemon than its host, which an earlier one tells.
	s.daemons[0].call("POST", itemPath+"x", "lot-0", bytes.ReplaceAll(body, []byte("item-"), []byte("probe-")))
	host := s.runner("lot-0")
	s.checkWhole(s.readAll(host, "lot-0"), []string{"probe-0-0", "probe-0-1"})
	for _, engine := range s.engines {
		engine.SetFaults(fakereplica.Faults{Full: true})
	}
	s.others(host)[0].call("POST", itemPath+"x", "lot-1", body)
	s.eventually("a replica refuses the item", func() bool {
		return strings.Contains(s.log.(*sharedLog).story(t, ids[0]), " 1503 ")
	})
	for _, engine := range s.engines {
		engine.SetFaults(fakereplica.Faults{Pause: 150 * time.Millisecond})
	}
	s.eventually("the item runs", func() bool {
		return s.engines[0].Runs(ids[0])+s.engines[1].Runs(ids[0])+s.engines[2].Runs(ids[0]) > 0
	})
	host.stop()
	for _, d := range s.others(host) {
		s.checkWhole(s.readAll(d, "lot-1"), ids)
		break
	}
	s.checkStory("A sample that came late", ids[0])
}

func TestLostAnswerIsExplainedByItsID(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1, logged)
	for _, desk := range s.desks {
		desk.SetFaults(fakereplica.Faults{Pause: time.Second})
	}
	if got := s.daemons[0].call("POST", plainPath+"x", "r-1", nil, "Deadline-Ms", "300"); got.status != http.StatusGatewayTimeout {
		t.Fatalf("answer %+v", got)
	}
	s.checkStory("A request whose answer was lost", "r-1")
}
