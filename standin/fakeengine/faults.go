package fakeengine

// Faults are the faults in effect. The zero value is a healthy engine.
type Faults struct {
	Slow         float64 `json:"slow"`          // factor on all decoding times, 0 is 1
	Leaving      bool    `json:"leaving"`       // new requests are refused, reported in the status
	RefuseNew    bool    `json:"refuse_new"`    // new requests are refused
	FailActivate int     `json:"fail_activate"` // the next activations fail partway
	FailStage    int     `json:"fail_stage"`    // the next stagings fail
	Untagged     int     `json:"untagged"`      // the next requests' chunks name no version
	Truncate     int     `json:"truncate"`      // the next streams end without their end marker
}

// SetFaults replaces the faults in effect.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// spend reports whether a counted fault hits and counts it down.
func spend(left *int) bool {
	if *left <= 0 {
		return false
	}
	*left--
	return true
}

// refusal says why a request is not started.
type refusal int

const (
	accepted refusal = iota
	refusedFull
	refusedLeaving
	refusedNoWeights
)

func (e *Engine) refusal() refusal {
	switch {
	case e.faults.Leaving:
		return refusedLeaving
	case e.version == 0:
		return refusedNoWeights
	case e.faults.RefuseNew, len(e.waiting) >= e.config.MaxWaiting:
		return refusedFull
	}
	return accepted
}
