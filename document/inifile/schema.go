package inifile

import (
	"fmt"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/fault"
)

// SectionSchema describes a section that decodes into a T.
type SectionSchema[T any] struct {
	Name        string
	Repeated    bool // written as [name "argument"]; may occur any number of times
	Description string
	Keys        []KeySchema[T]
}

// KeySchema describes a key.
type KeySchema[T any] struct {
	Name          string
	Unit          string // unit or format of the value
	Default       string // value as INI text; unused if the key is required
	Required      bool
	AllowedValues string // for documentation and error messages
	Description   string
	set           func(target *T, value string) error
	get           func(target *T) string
}

// Apply sets the defaults of all keys in target, then the values of the section's entries.
// section is nil if the file does not have the section.
func (s *SectionSchema[T]) Apply(file *File, section *Section, target *T) error {
	for _, key := range s.Keys {
		if key.Required {
			continue
		}
		if err := key.set(target, key.Default); err != nil {
			return fault.Wrap(err, fault.Internal, "default of "+s.Name+"."+key.Name, "report this defect")
		}
	}
	if section != nil {
		if err := s.applyEntries(file, section, target); err != nil {
			return err
		}
	}
	return s.checkRequired(file, section)
}

func (s *SectionSchema[T]) applyEntries(file *File, section *Section, target *T) error {
	for _, entry := range section.Entries {
		key := s.key(entry.Key)
		if key == nil {
			remedy := "use one of: " + strings.Join(s.names(), ", ")
			return Errorf(fault.Unrecognized, file.Name, entry.Line, remedy, "unknown key %q in section [%s]", entry.Key, s.Name)
		}
		if err := key.set(target, entry.Value); err != nil {
			return Errorf(fault.Invalid, file.Name, entry.Line, "use an allowed value: "+key.allowed(), "%s: %v", entry.Key, err)
		}
	}
	return nil
}

func (s *SectionSchema[T]) checkRequired(file *File, section *Section) error {
	line, present := 1, map[string]bool{}
	if section != nil {
		line = section.Line
		for _, entry := range section.Entries {
			present[entry.Key] = true
		}
	}
	for _, key := range s.Keys {
		if key.Required && !present[key.Name] {
			remedy := fmt.Sprintf("add %s = … to section [%s]", key.Name, s.Name)
			return Errorf(fault.Invalid, file.Name, line, remedy, "required key %q of section [%s] is missing", key.Name, s.Name)
		}
	}
	return nil
}

func (s *SectionSchema[T]) key(name string) *KeySchema[T] {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

func (s *SectionSchema[T]) names() []string {
	names := make([]string, 0, len(s.Keys))
	for _, key := range s.Keys {
		names = append(names, key.Name)
	}
	return names
}

func (k *KeySchema[T]) allowed() string {
	if k.Unit == "" {
		return k.AllowedValues
	}
	return k.Unit + ", " + k.AllowedValues
}

// Write appends the section to b with the values of target under the header title.
func (s *SectionSchema[T]) Write(b *strings.Builder, title string, target *T) {
	fmt.Fprintf(b, "[%s]\n", title)
	for _, key := range s.Keys {
		fmt.Fprintf(b, "%s = %s\n", key.Name, key.get(target))
	}
	b.WriteString("\n")
}

// RepeatedSection handles the sections of a name that may occur more than once.
type RepeatedSection struct {
	Name  string
	Apply func(section *Section) error
}

// ApplyAll decodes the sections of file: those in schemas, which occur at most once, into
// target, and each of the others with the Apply function of its name. It rejects unknown
// sections with fault.Unrecognized.
func ApplyAll[T any](file *File, schemas []SectionSchema[T], target *T, repeated ...RepeatedSection) error {
	for i := range file.Sections {
		if err := checkOrApplyRepeated(file, &file.Sections[i], schemas, repeated); err != nil {
			return err
		}
	}
	for i := range schemas {
		if err := schemas[i].Apply(file, findSection(file, schemas[i].Name), target); err != nil {
			return err
		}
	}
	return nil
}

// checkOrApplyRepeated applies section if it is a repeated one, and returns an error if its
// name is unknown.
func checkOrApplyRepeated[T any](file *File, section *Section, schemas []SectionSchema[T], repeated []RepeatedSection) error {
	var names []string
	for i := range schemas {
		if schemas[i].Name == section.Name && section.Argument == "" {
			return nil
		}
		names = append(names, schemas[i].Name)
	}
	for _, r := range repeated {
		if r.Name == section.Name {
			return r.Apply(section)
		}
		names = append(names, r.Name)
	}
	remedy := "use one of: " + strings.Join(names, ", ")
	return Errorf(fault.Unrecognized, file.Name, section.Line, remedy, "unknown section [%s]", section.title())
}

func findSection(file *File, name string) *Section {
	for i := range file.Sections {
		if file.Sections[i].Name == name && file.Sections[i].Argument == "" {
			return &file.Sections[i]
		}
	}
	return nil
}
