// Package trace builds the timeline of one request, item or batch from the logs of several
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

// Entry is one parsed JSON log entry.
type Entry struct {
	Daemon     string
	Time       time.Time // on the daemon's clock
	Event      int
	Level      string
	Message    string
	Fields     map[string]any // all other fields of the entry
	inputIndex int            // position in the input
}

// maxLineBytes bounds the length of one log line.
const maxLineBytes = 4 << 20

// Read reads log entries. It ignores lines without JSON and any text before the JSON of a
// line, so that it accepts the output of a log collector as it is.
func Read(r io.Reader) ([]Entry, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var entries []Entry
	for lines.Scan() {
		if e, ok := parse(lines.Text()); ok {
			e.inputIndex = len(entries)
			entries = append(entries, e)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "log can't be read", "provide a readable file of log lines")
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

// stringField returns the value of a field, "" if it is absent or not a string.
func (e Entry) stringField(key string) string {
	s, _ := e.Fields[key].(string)
	return s
}

// listContains reports whether the field key is a list that contains value.
func (e Entry) listContains(key, value string) bool {
	list, _ := e.Fields[key].([]any)
	for _, v := range list {
		if v == value {
			return true
		}
	}
	return false
}

// formatFields returns the fields sorted by name, with long lists truncated.
func (e Entry) formatFields() string {
	keys := make([]string, 0, len(e.Fields))
	for key := range e.Fields {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	var b strings.Builder
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%s", key, formatValue(e.Fields[key]))
	}
	return b.String()
}

// maxListValues is the number of values that are printed of a list.
const maxListValues = 3

func formatValue(value any) string {
	if list, ok := value.([]any); ok && len(list) > maxListValues {
		value = append(append([]any(nil), list[:maxListValues]...), fmt.Sprintf("and %d more", len(list)-maxListValues))
	}
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}
