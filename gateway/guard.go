package gateway

import (
	"errors"

	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/placement"
	"github.com/hornbeamtide/hornbeamtide/upstream"
)

// fingerprint returns the fingerprint of the request. It is computed when it is first needed, since
// bodies may be large.
func (p *pendingRequest) fingerprint() string {
	if p.computedFingerprint == "" {
		p.computedFingerprint = p.request.fingerprint()
	}
	return p.computedFingerprint
}

// checkGuard returns an error if the request may not be sent to a replica because replicas crashed
// under it.
func (p *pendingRequest) checkGuard() error {
	if p.guard.IsIdle() || !p.guard.IsSuspected(p.fingerprint()) {
		return nil
	}
	healthy, listed := p.tracker.Healthy(p.placementRequest())
	return p.guard.Check(p.fingerprint(), healthy, listed)
}

// admit returns an error if the request may not be sent to a replica any more.
func (p *pendingRequest) admit() error {
	if p.request.Admit == nil {
		return nil
	}
	return p.request.Admit()
}

// guardError returns the error of a request that may not be sent to a replica now. Earlier attempts may
// have run.
func (p *pendingRequest) guardError(err error) error {
	if !p.mayHaveRun {
		return err
	}
	return fault.Wrap(err, fault.Ambiguous, "the request may have run and got no complete response",
		"check its effect before sending it again", fault.WithOutcome(fault.Unknown))
}

// recordBreak records that the replica may have ended under the request, if err means so.
func (p *pendingRequest) recordBreak(lease *placement.Lease, err error) {
	var broken *upstream.BrokenError
	if errors.As(err, &broken) {
		p.guard.RecordBreak(p.fingerprint(), lease.Replica)
	}
}

// recordSurvival records that a replica responded to the request and did not end under it.
func (p *pendingRequest) recordSurvival() {
	if !p.guard.IsIdle() {
		p.guard.RecordResponse(p.fingerprint())
	}
}
