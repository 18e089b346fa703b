// Package event defines the numbered log events. docs/EVENTS.md lists all of them; a test
// compares the page with the code.
package event

import (
	"io"
	"sort"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log entry. Numbers are never reused.
type Event struct {
	Number  int          // unique; its hundreds identify the package
	Level   logrus.Level // severity
	Text    string       // constant message
	Meaning string       // explanation and remedy for the operator
}

var catalogue = map[int]Event{}

func define(number int, level logrus.Level, text, meaning string) Event {
	if _, taken := catalogue[number]; taken {
		panic("event: number defined twice: " + text)
	}
	e := Event{Number: number, Level: level, Text: text, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Catalogue returns all events ordered by number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Field is one key and value of a log entry.
type Field struct {
	Key   string
	Value any
}

// F returns a field.
func F(key string, value any) Field { return Field{Key: key, Value: value} }

// Err returns the field that carries an error. It is empty for no error: an entry without a cause is
// better than a process that ends while it logs.
func Err(err error) Field {
	if err == nil {
		return Field{Key: "error", Value: ""}
	}
	return Field{Key: "error", Value: err.Error()}
}

// Logger writes events. A nil Logger discards them. Entries of one event over its rate limit
// are skipped; the next entry of that event contains their number in the field skipped.
type Logger struct {
	entry  *logrus.Entry
	urgent *logrus.Entry // for warnings and errors
	limits *rateLimits
}

// NewLogger returns a Logger that writes to l with the given fields on each entry. If l
// writes to an AsyncWriter, warnings and errors take precedence over other entries there.
func NewLogger(l *logrus.Logger, fields ...Field) *Logger {
	logger := &Logger{entry: l.WithFields(toFields(fields)), limits: newRateLimits()}
	logger.urgent = logger.entry
	if w, ok := l.Out.(*AsyncWriter); ok {
		urgent := logrus.New()
		urgent.Out, urgent.Formatter, urgent.Level = w.Urgent(), l.Formatter, l.Level
		logger.urgent = urgent.WithFields(toFields(fields))
	}
	return logger
}

// Log writes one event.
func (l *Logger) Log(e Event, fields ...Field) {
	if l == nil || !l.entry.Logger.IsLevelEnabled(e.Level) {
		return
	}
	allowed, skipped := l.limits.allow(e.Number)
	if !allowed {
		return
	}
	entry := l.entry
	if e.Level <= logrus.WarnLevel {
		entry = l.urgent
	}
	data := toFields(fields)
	data["event"] = e.Number
	if skipped > 0 {
		data["skipped"] = skipped
	}
	entry.WithFields(data).Log(e.Level, e.Text)
}

// Skipped returns the number of entries that exceeded the rate limit of their event.
func (l *Logger) Skipped() int64 {
	if l == nil {
		return 0
	}
	return l.limits.skippedTotal.Load()
}

func toFields(fields []Field) logrus.Fields {
	out := make(logrus.Fields, len(fields))
	for _, f := range fields {
		out[f.Key] = f.Value
	}
	return out
}

// timeFormat has milliseconds because entries of several daemons are ordered by time.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogrus returns a logger that writes entries of the named level or above to w. format
// is "json" or "text".
func NewLogrus(w io.Writer, level, format string) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(w)
	if parsedLevel, err := logrus.ParseLevel(level); err == nil {
		logger.SetLevel(parsedLevel)
	}
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	if format == "text" {
		logger.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: timeFormat})
	}
	return logger
}
