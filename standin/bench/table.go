package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
)

// SaveJSON writes results to the file name.json in folder.
func SaveJSON(folder, name string, results any) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, name+".json"), append(content, '\n'), 0o644)
}

// column is one measurement in the table.
type column struct {
	title  string
	format string
	value  func(Result) float64
}

var columns = []column{
	{"idle share", "%.3f", func(r Result) float64 { return r.IdleShare }},
	{"step s", "%.2f", func(r Result) float64 { return r.StepSeconds }},
	{"staleness", "%.3f", func(r Result) float64 { return r.MeanStaleness }},
	{"p50 ms", "%.0f", func(r Result) float64 { return r.ModelP50MS }},
	{"p99 ms", "%.0f", func(r Result) float64 { return r.ModelP99MS }},
	{"lookup p99 ms", "%.0f", func(r Result) float64 { return r.LookupP99MS }},
	{"prefix hit", "%.3f", func(r Result) float64 { return r.PrefixHit }},
	{"busiest/mean", "%.2f", func(r Result) float64 { return r.BusiestOverMean }},
	{"wasted", "%.3f", func(r Result) float64 { return r.WastedShare }},
	{"attempts", "%.3f", func(r Result) float64 { return r.Attempts }},
	{"not run", "%.0f", func(r Result) float64 { return float64(r.NotRun) }},
	{"unknown", "%.0f", func(r Result) float64 { return float64(r.Unknown) }},
	{"broken", "%.0f", func(r Result) float64 { return float64(r.ViolatingSteps + r.MismatchedResponses) }},
	{"reads/s", "%.0f", func(r Result) float64 { return r.PlatformReads }},
	{"writes/s", "%.1f", func(r Result) float64 { return r.PlatformWrites }},
	{"cpu s", "%.1f", func(r Result) float64 { return r.CPUSeconds }},
}

// WriteTable writes the median and the range of each measurement, one row per variant.
func WriteTable(w io.Writer, results []Result) {
	byVariant := map[string][]Result{}
	var order []string
	for _, r := range results {
		if _, seen := byVariant[r.Variant]; !seen {
			order = append(order, r.Variant)
		}
		byVariant[r.Variant] = append(byVariant[r.Variant], r)
	}
	header, rule := "| variant |", "| --- |"
	for _, c := range columns {
		header += " " + c.title + " |"
		rule += " --- |"
	}
	fmt.Fprintf(w, "%s\n%s\n", header, rule)
	for _, variant := range order {
		row := "| " + variant + " |"
		for _, c := range columns {
			row += " " + c.cell(byVariant[variant]) + " |"
		}
		fmt.Fprintln(w, row)
	}
}

// cell formats the median with the lowest and the highest value.
func (c column) cell(results []Result) string {
	var values []float64
	for _, r := range results {
		values = append(values, c.value(r))
	}
	sort.Float64s(values)
	median := values[len(values)/2]
	if len(values)%2 == 0 {
		median = (values[len(values)/2-1] + median) / 2
	}
	low, high := values[0], values[len(values)-1]
	return fmt.Sprintf(c.format+" ("+c.format+"–"+c.format+")", median, low, high)
}

// WriteLoadTable writes one row per load point.
func WriteLoadTable(w io.Writer, points []LoadPoint) {
	fmt.Fprintln(w, "| variant | offered/s | goodput/s | not run | unknown | attempts | p99 ms |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, p := range points {
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %d | %d | %.3f | %.0f |\n",
			p.Variant, p.Offered, p.Goodput, p.NotRun, p.Unknown, p.Attempts, p.P99MS)
	}
}
