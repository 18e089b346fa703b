package objectapi

import (
	"bytes"
	"encoding/json"
)

// EncodeJSON encodes a value as JSON without the escapes that only HTML needs: a value of markup would take six times
// its size in the store.
func EncodeJSON(value any) ([]byte, error) {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(text.Bytes(), []byte{'\n'}), nil
}
