package inifile

import (
	"fmt"
	"strings"
)

// Markdown returns the reference of the section as a heading and a table.
func (s *SectionSchema[T]) Markdown() string {
	title := s.Name
	if s.Repeated {
		title += ` "name"`
	}
	var b strings.Builder
	fmt.Fprintf(&b, "## [%s]\n\n%s\n\n", title, s.Text)
	b.WriteString("| key | unit or form | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for i := range s.Keys {
		b.WriteString(s.Keys[i].row())
	}
	b.WriteString("\n")
	return b.String()
}

func (k *KeySchema[T]) row() string {
	preset := k.Default
	switch {
	case k.Required:
		preset = "required"
	case preset == "":
		preset = "empty"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, preset, k.Range, k.Text)
}
