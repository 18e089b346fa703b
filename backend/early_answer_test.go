package backend_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/standin/oddserver"
)

// Guards against a part of a response that counts as whole: a plain service responds without a length
// while the request is still being written to it, and its connection ends.
func TestResponseWithoutLengthDuringAnUploadIsWholeOnlyIfTheUploadIsTaken(t *testing.T) {
	const longUpload = 16 << 20 // more than the system buffers on a connection
	for name, row := range map[string]struct {
		end     func(*net.TCPConn)
		isWhole bool
	}{
		"reset":                   {oddserver.Reset, false},
		"closed, upload unread":   {oddserver.CloseUnread, false},
		"closed after the upload": {oddserver.CloseAfterRequest, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server, err := oddserver.Start(func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				time.Sleep(30 * time.Millisecond) // until the client has read it and the upload fills the buffers
				row.end(conn)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			client := backend.NewClient(backend.Timeouts{Connect: time.Second, FirstByte: 5 * time.Second, Progress: 5 * time.Second}, nil)
			defer client.Close()
			for range 4 {
				req, err := http.NewRequest(http.MethodPost, "http://service/x", bytes.NewReader(make([]byte, longUpload)))
				if err != nil {
					t.Fatal(err)
				}
				var body []byte
				resp, err := client.Plain(server.Address()).Do(t.Context(), req)
				if err == nil {
					body, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
				}
				if isWhole := err == nil; isWhole != row.isWhole {
					t.Errorf("body %q, error %v; want whole %t", body, err, row.isWhole)
				}
				if err != nil && fault.OutcomeOf(err) != fault.Unknown {
					t.Errorf("outcome %q, want unknown: %v", fault.OutcomeOf(err), err)
				}
			}
		})
	}
}
