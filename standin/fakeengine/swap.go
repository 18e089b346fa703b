package fakeengine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hornbeamtide/hornbeamtide/backend"
)

var (
	errFenced    = errors.New("a newer fencing token was seen")
	errNotStaged = errors.New("the version is not staged")
	errInjected  = errors.New("injected failure")
)

// checkFence returns errFenced for an order whose fencing token is older than one seen
// before, if the engine checks fencing tokens.
func (e *Engine) checkFence(o backend.Order) error {
	e.counts.Orders++
	if !e.config.ChecksFencing {
		return nil
	}
	if o.FencingToken < e.fencingToken {
		e.counts.FencedOrders++
		return errFenced
	}
	e.fencingToken = o.FencingToken
	return nil
}

// Stage loads a version from the weight store. It returns errFenced if the order is refused.
func (e *Engine) Stage(ctx context.Context, o backend.Order) error {
	e.mu.Lock()
	err := e.checkFence(o)
	if err == nil && consumeFault(&e.faults.FailStage) {
		err = errInjected
	}
	e.mu.Unlock()
	if err != nil {
		return err
	}
	if err := e.loadWeights(ctx, o.Version); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged = o.Version
	return nil
}

func (e *Engine) loadWeights(ctx context.Context, version int64) error {
	if e.config.WeightAddress == "" {
		return nil
	}
	url := fmt.Sprintf("http://%s/v1/pools/%s/weights/%d", e.config.WeightAddress, e.config.Pool, version)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("weight store responded with status %s", response.Status)
	}
	return nil
}

// Activate makes a staged version active. Requests in flight continue with the new
// version.
func (e *Engine) Activate(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o); err != nil {
		return err
	}
	if e.version == o.Version && e.complete {
		return nil
	}
	if e.staged != o.Version {
		return errNotStaged
	}
	e.pendingSwapTime += e.config.ActivateTime
	if consumeFault(&e.faults.FailActivate) {
		e.complete = false
		return errInjected
	}
	e.version, e.complete = o.Version, true
	e.counts.Activations++
	e.counts.ActivatedAt = time.Now()
	return nil
}

// sleepActivateTime delays the response to an activation by the duration of the swap.
func (e *Engine) sleepActivateTime() { time.Sleep(e.config.ActivateTime) }
