package main

import "github.com/hornbeamtide/hornbeamtide/standin/fakeplatform"

type platformCommand struct {
	serverOptions
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	return c.serve(fakeplatform.New(fakeplatform.Config{}).Handler())
}
