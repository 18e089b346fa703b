package document

import (
	"os"
	"path/filepath"
	"testing"
)

func TestExampleDocumentsParse(t *testing.T) {
	files, _ := filepath.Glob("../examples/documents/*.ini")
	if len(files) != 4 {
		t.Fatalf("examples: %v", files)
	}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		d, err := Parse(file, source)
		if err != nil {
			t.Error(err)
			continue
		}
		if d.Service+".ini" != filepath.Base(file) {
			t.Errorf("%s: service %q", file, d.Service)
		}
	}
}
