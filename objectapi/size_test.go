package objectapi

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// Guards against values that seem to fit and are refused by a store that escapes more than this program does.
func TestEncodedSizeCoversEachEncoding(t *testing.T) {
	for _, text := range []string{
		"", "plain", `"quoted" \ path`, "line\nend\ttab\r", "\x00\x01\x1f\x7f", "žluťoučký 猫 \u2028", "🙂 surrogates", strings.Repeat("\x01", 1000),
	} {
		encoded, err := json.Marshal(text)
		if err != nil {
			t.Fatal(err)
		}
		size, ascii := EncodedSize([]byte(text)), strconv.QuoteToASCII(text)
		if size < len(encoded) || size < len(ascii) {
			t.Errorf("%q: size %d, encoded by encoding/json %d, as ASCII %d", text, size, len(encoded), len(ascii))
		}
	}
	if text := strings.Repeat("<a>", 1000); EncodedSize([]byte(text)) != len(text)+2 {
		t.Errorf("characters that need no escape take %d bytes of %d", EncodedSize([]byte(text)), len(text))
	}
	if size := EncodedSize([]byte{0xff, 0xfe, 0xfd}); size < 4 {
		t.Errorf("a value that is not text takes %d bytes", size)
	}
}
