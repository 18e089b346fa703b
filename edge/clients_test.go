package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/hornbeamtide/hornbeamtide/catalog"
	"github.com/hornbeamtide/hornbeamtide/connlimit"
)

// The bounds of the front must follow the configuration in force, and those of other addresses must not.
func TestClientBoundsFollowTheConfiguration(t *testing.T) {
	d := &Daemon{}
	defaults := connlimit.Bounds{HeadBytes: defaultHeadBytes, HeadTime: defaultHeadTime, IdleTime: unusedTime}
	if got := d.clientBounds(connlimit.Front); got != defaults {
		t.Errorf("without a configuration: %+v", got)
	}
	d.configuration.Store(catalog.NewConfiguration(1, nil, nil, catalog.Limits{MaxHeaderBytes: 200_000, HeaderTimeout: time.Minute}))
	if got := d.clientBounds(connlimit.Front); got.HeadBytes <= 200_000 || got.HeadTime <= time.Minute {
		t.Errorf("with a configuration: %+v", got)
	}
	for _, address := range []connlimit.Address{connlimit.Ready, connlimit.Metric} {
		if got := d.clientBounds(address); got != defaults {
			t.Errorf("%s: %+v", address, got)
		}
	}
	if got := d.clientBounds(connlimit.Peer); !got.FirstOnly || got.HeadBytes != defaultHeadBytes {
		t.Errorf("peers: %+v", got)
	}
}

// Ordinary traffic of callers, a trainer and other daemons must not be refused.
func TestOrdinaryTrafficIsNotRefused(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 3)
	body, ids := batchBody(4, 1)
	s.daemons[0].call("POST", itemPath+"x", "lot-1", body)
	for _, d := range s.daemons {
		for range 50 {
			if got := d.call("POST", plainPath+"x", "r-1", []byte("body")); got.status != http.StatusOK {
				t.Fatalf("response %+v", got)
			}
		}
		s.checkComplete(s.readAll(d, "lot-1"), ids)
	}
	for _, d := range s.daemons {
		for reason, n := range d.refusedClients() {
			if n != 0 {
				t.Errorf("%d refusals for %s", n, reason)
			}
		}
	}
}
