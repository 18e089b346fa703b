// Package slopes measures the cost of daemons at several fleet sizes, fits lines through the
// measurements and extrapolates the cost of each role to the target size.
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

// Options configures a run.
type Options struct {
	DaemonPath  string // path of the hornbeamtide program
	ExamplesDir string // folder with the documents
	Layouts     []Layout
	ResultsPath string // JSON file to write, or to read in Render
	PagePath    string // Markdown file to write; empty means Out
	Out         io.Writer
}

// smallInstanceProcessors is the GOMAXPROCS value that represents a small instance.
const smallInstanceProcessors = 2

// DefaultLayouts varies members, collectors and replicas independently, so that the fit can
// separate their costs.
var DefaultLayouts = []Layout{
	{Daemons: 9, Domains: 3, Replicas: 8, MeasureWork: true, MaxProcs: smallInstanceProcessors},
	{Daemons: 9, Domains: 3, Replicas: 24, MaxProcs: smallInstanceProcessors},
	{Daemons: 9, Domains: 3, Replicas: 24},
	{Daemons: 30, Domains: 1, Replicas: 24, MaxProcs: smallInstanceProcessors},
	{Daemons: 30, Domains: 6, Replicas: 4, MaxProcs: smallInstanceProcessors},
	{Daemons: 60, Domains: 2, Replicas: 12, MeasureWork: true, MaxProcs: smallInstanceProcessors},
	{Daemons: 60, Domains: 1, Replicas: 24, MaxProcs: smallInstanceProcessors, PollInterval: 250 * time.Millisecond},
	{Daemons: 120, Domains: 6, Replicas: 4, MaxProcs: smallInstanceProcessors},
	{Daemons: 120, Domains: 2, Replicas: 24, MaxProcs: smallInstanceProcessors},
	{Daemons: 180, Domains: 6, Replicas: 12, MaxProcs: smallInstanceProcessors},
}

// Run measures all layouts and writes the results and the page. A layout that fails is left
// out of the results, and Run returns its error after measuring the others.
func Run(ctx context.Context, options Options) error {
	var measured []LayoutMeasurement
	var failures []error
	for _, layout := range options.Layouts {
		started := time.Now()
		m, err := measureLayout(ctx, options, layout)
		if err != nil {
			failures = append(failures, fmt.Errorf("%+v: %w", layout, err))
			fmt.Fprintf(options.Out, "slopes: layout not measured: %v\n", failures[len(failures)-1])
			continue
		}
		fmt.Fprintf(options.Out, "slopes: %d daemons in %d domains, %d replicas: measured in %s\n",
			layout.Daemons, layout.Domains, layout.Replicas, time.Since(started).Round(time.Second))
		measured = append(measured, m)
	}
	results, fitErr := fitLines(measured)
	if err := writeJSON(options.ResultsPath, results); err != nil {
		return err
	}
	if fitErr != nil {
		failures = append(failures, fmt.Errorf("fit lines: %w; the measurements are in %s", fitErr, options.ResultsPath))
		return errors.Join(failures...)
	}
	if err := writePageOutput(options, results); err != nil {
		return err
	}
	return errors.Join(failures...)
}

// Render writes the page again from the results of an earlier run.
func Render(options Options) error {
	content, err := os.ReadFile(options.ResultsPath)
	if err != nil {
		return err
	}
	var results Results
	if err := json.Unmarshal(content, &results); err != nil {
		return err
	}
	return writePageOutput(options, results)
}

func writePageOutput(options Options, results Results) error {
	if options.PagePath == "" {
		return writePage(options.Out, results)
	}
	page, err := os.Create(options.PagePath)
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
