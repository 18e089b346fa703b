// Package slopes measures what daemons cost at several fleet sizes, fits lines through
// the figures and works out the cost of each role at the target size.
package slopes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Options configure a run.
type Options struct {
	Daemon   string // path of the hornbeamtide program
	Examples string // folder with the documents
	Layouts  []Layout
	Results  string // JSON file to write
	Page     string // Markdown file to write, none if empty
	Out      io.Writer
}

// smallInstance is the number of processors of a small entry instance.
const smallInstance = 2

// DefaultLayouts tell members, collectors and replicas apart: each differs from the
// others in more than one of them.
var DefaultLayouts = []Layout{
	{Daemons: 9, Domains: 3, Replicas: 8, Work: true, Processors: smallInstance},
	{Daemons: 9, Domains: 3, Replicas: 24, Processors: smallInstance},
	{Daemons: 9, Domains: 3, Replicas: 24},
	{Daemons: 30, Domains: 1, Replicas: 24, Processors: smallInstance},
	{Daemons: 30, Domains: 6, Replicas: 4, Processors: smallInstance},
	{Daemons: 60, Domains: 2, Replicas: 12, Work: true, Processors: smallInstance},
	{Daemons: 60, Domains: 1, Replicas: 24, Processors: smallInstance, Poll: 250 * time.Millisecond},
	{Daemons: 120, Domains: 6, Replicas: 4, Processors: smallInstance},
	{Daemons: 120, Domains: 2, Replicas: 24, Processors: smallInstance},
	{Daemons: 180, Domains: 6, Replicas: 12, Processors: smallInstance},
}

// Run measures all layouts and writes the results. A layout that fails is left out and
// makes the run fail in the end.
func Run(ctx context.Context, options Options) error {
	var all []Measured
	var failures []error
	for _, layout := range options.Layouts {
		started := time.Now()
		m, err := measure(ctx, options, layout)
		if err != nil {
			failures = append(failures, fmt.Errorf("%+v: %w", layout, err))
			fmt.Fprintf(options.Out, "slopes: not measured: %v\n", failures[len(failures)-1])
			continue
		}
		fmt.Fprintf(options.Out, "slopes: %d daemons in %d domains, %d replicas: measured in %s\n",
			layout.Daemons, layout.Domains, layout.Replicas, time.Since(started).Round(time.Second))
		all = append(all, m)
	}
	results, fitError := analyze(all)
	if err := writeJSON(options.Results, results); err != nil {
		return err
	}
	if fitError != nil {
		failures = append(failures, fmt.Errorf("%w; measured figures are in %s", fitError, options.Results))
		return errors.Join(failures...)
	}
	if err := writePageTo(options, results); err != nil {
		return err
	}
	return errors.Join(failures...)
}

// Render writes the page of an earlier run's results again.
func Render(options Options) error {
	content, err := os.ReadFile(options.Results)
	if err != nil {
		return err
	}
	var results Results
	if err := json.Unmarshal(content, &results); err != nil {
		return err
	}
	return writePageTo(options, results)
}

func writePageTo(options Options, results Results) error {
	if options.Page == "" {
		return writePage(options.Out, results)
	}
	page, err := os.Create(options.Page)
	if err != nil {
		return err
	}
	defer page.Close()
	return writePage(page, results)
}

func writeJSON(path string, value any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(encoded, '\n'), 0o644)
}
