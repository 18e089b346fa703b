// Command standin runs the fakes, the demo and the measurements. It is not shipped.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

func main() {
	parser := flags.NewParser(nil, flags.Default)
	addCommand(parser, "platform", "Run the object API and the instance list", &platformCommand{})
	addCommand(parser, "weights", "Run the weight store", &weightsCommand{})
	addCommand(parser, "engine", "Run one model engine", &engineCommand{})
	addCommand(parser, "plain", "Run one plain service", &plainCommand{})
	addCommand(parser, "bench", "Measure ways of deciding", &benchCommand{})
	addCommand(parser, "demo", "Run the whole path on loopback", &demoCommand{})
	addCommand(parser, "edge-demo", "Run the path of the users' platform on loopback", &edgeDemoCommand{})
	addCommand(parser, "soak", "Run the real programs beside random faults", &soakCommand{})
	addCommand(parser, "slopes", "Measure what daemons cost at several fleet sizes", &slopesCommand{})
	_, err := parser.Parse()
	var failure *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &failure) && failure.Type == flags.ErrHelp:
	default:
		os.Exit(1)
	}
}

func addCommand(parser *flags.Parser, name, help string, command any) {
	if _, err := parser.AddCommand(name, help, help+".", command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
