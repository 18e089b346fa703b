package inifile

import (
	"fmt"
	"strings"
)

// Markdown returns the reference documentation of the section: a heading and a table of
// its keys.
func (s *SectionSchema[T]) Markdown() string {
	title := s.Name
	if s.Repeated {
		title += ` "name"`
	}
	var b strings.Builder
	fmt.Fprintf(&b, "## [%s]\n\n%s\n\n", title, s.Description)
	b.WriteString("| key | unit or form | default | range | meaning |\n| --- | --- | --- | --- | --- |\n")
	for i := range s.Keys {
		b.WriteString(s.Keys[i].markdownRow())
	}
	b.WriteString("\n")
	return b.String()
}

func (k *KeySchema[T]) markdownRow() string {
	defaultValue := k.Default
	switch {
	case k.Required:
		defaultValue = "required"
	case defaultValue == "":
		defaultValue = "empty"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s |\n", k.Name, k.Unit, defaultValue, k.AllowedValues, k.Description)
}
