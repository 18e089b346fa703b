// Package inifile parses INI text strictly and decodes it by a schema. Every error names
// file, line and remedy. Service documents and settings use it.
package inifile

import (
	"bytes"
	"fmt"
	"regexp"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// MaxBytes is the maximum size of a text that Load accepts.
const MaxBytes = 256 << 10

// File is a parsed INI text with the line numbers of its sections and entries.
type File struct {
	Name     string
	Sections []Section
}

// Section is a section of a file. [team "x"] has the name "team" and the argument "x".
type Section struct {
	Name     string
	Argument string
	Line     int
	Entries  []Entry
}

// Entry is a key and its value without surrounding space and comment.
type Entry struct {
	Key   string
	Value string
	Line  int
}

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z_]+)(?: "([^"\]]*)")?\]\s*(?:[;#].*)?$`)
	entryPattern   = regexp.MustCompile(`^([a-z_]+)\s*=(.*)$`)
	iniOptions     = ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}
)

// Errorf returns an error about a line of a file.
func Errorf(kind fault.Kind, file string, line int, remedy, format string, args ...any) error {
	message := fmt.Sprintf("%s:%d: %s", file, line, fmt.Sprintf(format, args...))
	return fault.New(kind, message, remedy, fault.WithOutcome(fault.NotRun))
}

// Load parses an INI text. It rejects duplicate sections and keys, keys outside of a
// section and multi-line values with fault.Invalid.
func Load(name string, source []byte) (*File, error) {
	if len(source) > MaxBytes {
		return nil, Errorf(fault.Invalid, name, 1, fmt.Sprintf("keep it under %d bytes", MaxBytes), "the text has %d bytes", len(source))
	}
	file, err := scan(name, source)
	if err != nil {
		return nil, err
	}
	values, err := ini.LoadSources(iniOptions, source)
	if err != nil {
		return nil, Errorf(fault.Invalid, name, 1, "write it as INI: [section], then key = value lines", "%v", err)
	}
	for i := range file.Sections {
		file.Sections[i].readValues(values)
	}
	return file, nil
}

func (s *Section) readValues(values *ini.File) {
	from := values.Section(s.title())
	for i := range s.Entries {
		value := from.Key(s.Entries[i].Key).Value()
		if strings.HasPrefix(value, ";") || strings.HasPrefix(value, "#") {
			value = "" // only a comment follows the equals sign
		}
		s.Entries[i].Value = value
	}
}

func (s *Section) title() string {
	if s.Argument == "" {
		return s.Name
	}
	return fmt.Sprintf("%s %q", s.Name, s.Argument)
}

// scan records the lines of sections and keys and rejects ambiguous text.
func scan(name string, source []byte) (*File, error) {
	file := &File{Name: name}
	seen := map[string]int{}
	source = bytes.TrimPrefix(source, []byte("\ufeff"))
	for i, raw := range strings.Split(string(source), "\n") {
		number, line := i+1, strings.TrimSpace(raw)
		if line == "" || line[0] == ';' || line[0] == '#' {
			continue
		}
		if err := checkCharacters(name, number, line); err != nil {
			return nil, err
		}
		if err := file.addLine(number, line, seen); err != nil {
			return nil, err
		}
	}
	return file, nil
}

func checkCharacters(name string, number int, line string) error {
	for _, r := range line {
		if r == '\ufffd' || (r < ' ' && r != '\t') || r == 0x7f {
			return Errorf(fault.Invalid, name, number, "write plain UTF-8 text", "control or invalid character")
		}
	}
	if strings.ContainsAny(line, "`") || strings.Contains(line, `""`) || strings.Contains(line, "%(") {
		return Errorf(fault.Invalid, name, number, "write the value on one line without quotes", "quoting and references are not supported")
	}
	return nil
}

func (f *File) addLine(number int, line string, seen map[string]int) error {
	if m := sectionPattern.FindStringSubmatch(line); m != nil {
		section := Section{Name: m[1], Argument: m[2], Line: number}
		if first, duplicate := seen[section.title()]; duplicate {
			return Errorf(fault.Invalid, f.Name, number, "merge the two sections", "section [%s] is already defined in line %d", section.title(), first)
		}
		seen[section.title()] = number
		f.Sections = append(f.Sections, section)
		return nil
	}
	m := entryPattern.FindStringSubmatch(line)
	if m == nil {
		return Errorf(fault.Invalid, f.Name, number, "write [section] or key = value, names in lower case", "%q is neither a section nor a key", truncate(line))
	}
	if len(f.Sections) == 0 {
		return Errorf(fault.Invalid, f.Name, number, "move it below a section header", "key %q precedes the first section", m[1])
	}
	if value := strings.TrimSpace(m[2]); strings.HasPrefix(value, `"`) || strings.HasPrefix(value, "'") {
		return Errorf(fault.Invalid, f.Name, number, "write the value without quotes", "the value of %q is quoted", m[1])
	}
	section := &f.Sections[len(f.Sections)-1]
	id := section.title() + "\n" + m[1]
	if first, duplicate := seen[id]; duplicate {
		return Errorf(fault.Invalid, f.Name, number, "remove one of them", "key %q is already defined in line %d", m[1], first)
	}
	seen[id] = number
	section.Entries = append(section.Entries, Entry{Key: m[1], Line: number})
	return nil
}

func truncate(line string) string {
	const maxLen = 60
	if len(line) <= maxLen {
		return line
	}
	return strings.ToValidUTF8(line[:maxLen], "") + "…"
}

// LineOf returns the line of a key, the line of its section if the key is absent, or 1 if
// the section is absent too.
func (f *File) LineOf(section, key string) int {
	found := findSection(f, section)
	if found == nil {
		return 1
	}
	for _, entry := range found.Entries {
		if entry.Key == key {
			return entry.Line
		}
	}
	return found.Line
}
