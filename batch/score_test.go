package batch

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// A scoring server's response counts only with its complete body. A body without end, which is read
// up to a limit, and one that breaks off are not complete.
func TestScoreNeedsTheCompleteBody(t *testing.T) {
	const limit = 100
	broken := errors.New("connection reset")
	for name, row := range map[string]struct {
		body io.Reader
		want bool
	}{
		"empty":      {strings.NewReader(""), true},
		"at limit":   {bytes.NewReader(make([]byte, limit)), true},
		"over limit": {bytes.NewReader(make([]byte, limit+1)), false},
		"breaks off": {io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), false},
	} {
		if err := discardComplete(row.body, limit); (err == nil) != row.want {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
