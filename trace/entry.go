// Package trace tells the story of one request, item or batch from the logs of several
// daemons, whose clocks may differ.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Entry is one log entry in JSON.
type Entry struct {
	Daemon  string
	Time    time.Time // on the daemon's clock
	Event   int
	Level   string
	Message string
	Fields  map[string]any // the others
	order   int            // in its input
}

// maxLine bounds one line of a log.
const maxLine = 4 << 20

// Read reads log entries. What stands before the JSON of a line, and lines without any,
// are left out, so that output of a collector of logs can be given as it is.
func Read(r io.Reader) ([]Entry, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	var entries []Entry
	for lines.Scan() {
		if e, ok := parse(lines.Text()); ok {
			e.order = len(entries)
			entries = append(entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the log can't be read", "give a readable file of log lines")
	}
	return entries, nil
}

func parse(line string) (Entry, bool) {
	start := strings.IndexByte(line, '{')
	if start < 0 {
		return Entry{}, false
	}
	var raw struct {
		Daemon string    `json:"daemon"`
		Time   time.Time `json:"time"`
		Event  int       `json:"event"`
		Level  string    `json:"level"`
		Msg    string    `json:"msg"`
	}
	text := []byte(line[start:])
	if json.Unmarshal(text, &raw) != nil || raw.Event == 0 || raw.Time.IsZero() {
		return Entry{}, false
	}
	e := Entry{Daemon: raw.Daemon, Time: raw.Time, Event: raw.Event, Level: raw.Level, Message: raw.Msg}
	if json.Unmarshal(text, &e.Fields) != nil {
		return Entry{}, false
	}
	for _, key := range []string{"daemon", "time", "event", "level", "msg"} {
		delete(e.Fields, key)
	}
	return e, true
}

// text is a field as text, "" if it is absent.
func (e Entry) text(key string) string {
	s, _ := e.Fields[key].(string)
	return s
}

// lists reports whether a list among the fields holds a value.
func (e Entry) lists(key, value string) bool {
	list, _ := e.Fields[key].([]any)
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// fieldsText are the fields in the order of their names, long lists cut.
func (e Entry) fieldsText() string {
	keys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%s", key, valueText(e.Fields[key]))
	}
	return b.String()
}

// shownValues is how many values of a list are shown.
const shownValues = 3

func valueText(value any) string {
	if list, ok := value.([]any); ok && len(list) > shownValues {
		value = append(append([]any(nil), list[:shownValues]...), fmt.Sprintf("and %d more", len(list)-shownValues))
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
