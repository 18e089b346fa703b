package document

import (
	"fmt"
	"sort"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/document/inifile"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// Parse parses a document. name is the file name in error messages. An unknown section,
// key or value is rejected with fault.Unrecognized or fault.Invalid; the message names
// file, line and remedy.
func Parse(name string, source []byte) (*Document, error) {
	file, err := inifile.Load(name, source)
	if err != nil {
		return nil, err
	}
	d := &Document{}
	teams := inifile.RepeatedSection{Name: TeamSection, Apply: func(section *inifile.Section) error {
		return d.parseTeam(file, section)
	}}
	if err := inifile.ApplyAll(file, SectionSchemas(), d, teams); err != nil {
		return nil, err
	}
	if err := d.checkKind(file); err != nil {
		return nil, err
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	return d, nil
}

func (d *Document) parseTeam(file *inifile.File, section *inifile.Section) error {
	if !inifile.NamePattern.MatchString(section.Argument) {
		return inifile.Errorf(fault.Invalid, file.Name, section.Line, `write it as [team "name"]`, "%q is not a valid team name", section.Argument)
	}
	schema, share := TeamSchema(), TeamShare{Team: section.Argument}
	if err := schema.Apply(file, section, &share); err != nil {
		return err
	}
	d.Teams = append(d.Teams, share)
	return nil
}

// checkKind rejects a [samples] section of a plain service and clears the defaults of its
// keys.
func (d *Document) checkKind(file *inifile.File) error {
	if d.Kind == KindModel {
		return nil
	}
	for _, section := range file.Sections {
		if section.Name == "samples" {
			return inifile.Errorf(fault.Invalid, file.Name, section.Line, "remove the section or write kind = model", "section [samples] is not allowed with kind = %s", d.Kind)
		}
	}
	d.Samples = Samples{}
	return nil
}

// Format returns d as INI text with every key. Parse of this text returns a copy of d.
func Format(d *Document) []byte {
	var b strings.Builder
	for _, section := range SectionSchemas() {
		if section.Name == "samples" && d.Kind != KindModel {
			continue
		}
		section.Write(&b, section.Name, d)
	}
	team := TeamSchema()
	for i := range d.Teams {
		team.Write(&b, fmt.Sprintf("%s %q", TeamSection, d.Teams[i].Team), &d.Teams[i])
	}
	return []byte(b.String())
}
