package daemon

import (
	"os"
	"strings"
	"testing"
)

func TestReadmeSettingsAreAccepted(t *testing.T) {
	page, err := os.ReadFile("../README.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, found := strings.Cut(string(page), "    [daemon]")
	if !found {
		t.Fatal("no settings in README.md")
	}
	text, _, _ = strings.Cut("    [daemon]"+text, "\nThen check")
	s, err := ParseSettings("README.md", []byte(strings.ReplaceAll(text, "\n    ", "\n")))
	if err != nil {
		t.Fatal(err)
	}
	if s.Daemon.ID != "d1" || s.Claims.Shards != 8 || s.Daemon.DataFolder != "" {
		t.Errorf("settings %+v", s)
	}
}
