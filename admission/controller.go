package admission

import "github.com/hornbeamtide/hornbeamtide/event"

// Controller implements Admitter for all services of a daemon.
type Controller struct {
	log *event.Logger
}

// NewController returns a Controller without requests.
func NewController(log *event.Logger) *Controller {
	return &Controller{log: log}
}
