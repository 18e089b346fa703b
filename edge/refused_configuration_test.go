package edge

import (
	"testing"
	"time"
)

// Guards against the use of a withdrawn key when the configuration that withdraws it can't be decoded: the
// previous one stays in force, with proofs for the new one.
func TestRefusedConfigurationIsNotProven(t *testing.T) {
	t.Parallel()
	s := newTestSystem(t, 1, withOrganisations)
	s.awaitProofs()
	s.organisations[0]["ApiKeys"] = []any{keyNorth2, 7}
	s.configure(2)
	time.Sleep(testWithdrawalTime + 500*time.Millisecond)
	if got := s.daemons[0].call("POST", plainPath+"x", "r", nil, "X-Api-Key", keyNorth); got.status == 200 {
		t.Errorf("status %d for a key that the store's configuration does not hold", got.status)
	}
}
