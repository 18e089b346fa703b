package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/hornbeamtide/hornbeamtide/standin/slopes"
)

type slopesCommand struct {
	programOptions
	Examples   string `long:"examples" description:"folder with documents" default:"examples"`
	Layouts    string `long:"layouts" description:"daemons/domains/replicas, a trailing w also measures work; several by commas; empty: the usual ones"`
	Processors int    `long:"processors" description:"processors that each daemon of the given layouts uses" default:"2"`
	Results    string `long:"results" description:"JSON file to write" default:"bench/results/slopes.json"`
	Render     bool   `long:"render" description:"only write the page from the JSON file again"`
	Page       string `long:"page" description:"page to write, empty for standard output" default:"docs/CAPACITY.md"`
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	if c.Render {
		return slopes.Render(slopes.Options{ResultsPath: c.Results, PagePath: c.Page, Out: os.Stdout})
	}
	daemon, _, err := c.programs()
	if err != nil {
		return err
	}
	layouts := slopes.DefaultLayouts
	if c.Layouts != "" {
		if layouts, err = parseLayouts(c.Layouts, c.Processors); err != nil {
			return err
		}
	}
	ctx, stop := signalContext()
	defer stop()
	return slopes.Run(ctx, slopes.Options{
		DaemonPath: daemon, ExamplesDir: c.Examples, Layouts: layouts, ResultsPath: c.Results, PagePath: c.Page, Out: os.Stdout,
	})
}

func parseLayouts(text string, processors int) ([]slopes.Layout, error) {
	var layouts []slopes.Layout
	for _, part := range strings.Split(text, ",") {
		l := slopes.Layout{MaxProcs: processors}
		trimmed, measureWork := strings.CutSuffix(part, "w")
		l.MeasureWork = measureWork
		if _, err := fmt.Sscanf(trimmed, "%d/%d/%d", &l.Daemons, &l.Domains, &l.Replicas); err != nil {
			return nil, fmt.Errorf("layout %q: %w", part, err)
		}
		layouts = append(layouts, l)
	}
	return layouts, nil
}
