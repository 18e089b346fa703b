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
	errFenced    = errors.New("a newer fencing number was seen")
	errNotStaged = errors.New("the version is not staged")
	errInjected  = errors.New("injected failure")
)

// checkFence refuses an order whose fencing number is old.
func (e *Engine) checkFence(o backend.Order) error {
	e.counts.Orders++
	if !e.config.ChecksFencing {
		return nil
	}
	if o.Fence < e.fence {
		e.counts.FencedOrders++
		return errFenced
	}
	e.fence = o.Fence
	return nil
}

// Stage loads a version from the weight store.
func (e *Engine) Stage(ctx context.Context, o backend.Order) error {
	e.mu.Lock()
	err := e.checkFence(o)
	if err == nil && spend(&e.faults.FailStage) {
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
		return fmt.Errorf("weight store answered %s", response.Status)
	}
	return nil
}

// Activate makes a staged version active. Requests in progress continue on it.
func (e *Engine) Activate(o backend.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFence(o); err != nil {
		return err
	}
	if e.version == o.Version && e.whole {
		return nil
	}
	if e.staged != o.Version {
		return errNotStaged
	}
	e.pause += e.config.ActivateTime
	if spend(&e.faults.FailActivate) {
		e.whole = false
		return errInjected
	}
	e.version, e.whole = o.Version, true
	e.counts.Activations++
	e.counts.ActivatedAt = time.Now()
	return nil
}

// activateWait lets the answer of an activation take as long as the swap.
func (e *Engine) activateWait() { time.Sleep(e.config.ActivateTime) }
