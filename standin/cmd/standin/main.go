// Command standin runs the fake servers, the demos, the benchmarks and the soak test. It
// is not part of a release.
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
	addCommand(parser, "bench", "Compare routing policies under load and faults", &benchCommand{})
	addCommand(parser, "demo", "Run all components on loopback", &demoCommand{})
	addCommand(parser, "edge-demo", "Run edge daemons with the fake platform on loopback", &edgeDemoCommand{})
	addCommand(parser, "soak", "Run the daemons under random faults", &soakCommand{})
	addCommand(parser, "slopes", "Measure the resource use of daemons at several fleet sizes", &slopesCommand{})
	_, err := parser.Parse()
	var flagsErr *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
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
