package fakeengine

// Faults are the faults in effect. The zero value is a healthy engine.
type Faults struct {
	SlowFactor   float64 `json:"slow"`          // factor for all decoding times; 0 means 1
	Leaving      bool    `json:"leaving"`       // refuse new requests and report leaving in the status
	RefuseNew    bool    `json:"refuse_new"`    // refuse new requests
	FailActivate int     `json:"fail_activate"` // number of next activations that fail partway
	FailStage    int     `json:"fail_stage"`    // number of next stagings that fail
	Untagged     int     `json:"untagged"`      // number of next requests whose chunks name no version
	Truncate     int     `json:"truncate"`      // number of next streams that end without their end marker
}

// SetFaults replaces the faults in effect.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// consumeFault reports whether a counted fault applies, and decrements its counter.
func consumeFault(remaining *int) bool {
	if *remaining <= 0 {
		return false
	}
	*remaining--
	return true
}

// refusalReason is the reason why a request is not started.
type refusalReason int

const (
	accepted refusalReason = iota
	refusedFull
	refusedLeaving
	refusedNoWeights
)

// checkNewRequest returns why a new request is refused, or accepted.
func (e *Engine) checkNewRequest() refusalReason {
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
