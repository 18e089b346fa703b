package slopes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// putDocument writes a document through a daemon, with version as its precondition, and
// returns the new version.
func putDocument(ctx context.Context, address, service string, source []byte, version int64) (int64, error) {
	url := "http://" + address + "/v1/documents/" + service
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(source))
	if err != nil {
		return 0, err
	}
	r.Header.Set("If-Match", strconv.FormatInt(version, 10))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if response.StatusCode/100 != 2 {
		return 0, fmt.Errorf("%s: %s: %.200s", url, response.Status, content)
	}
	return strconv.ParseInt(response.Header.Get("X-Version"), 10, 64)
}
