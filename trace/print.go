package trace

import (
	"fmt"
	"io"
	"sort"
)

// Print writes the entries as text, one line per entry. Entries that are only context
// about a participating daemon or replica are marked with "-".
func (t Timeline) Print(w io.Writer) error {
	daemons := make([]string, 0, len(t.ClockOffsets))
	for daemon := range t.ClockOffsets {
		daemons = append(daemons, daemon)
	}
	sort.Strings(daemons)
	for _, daemon := range daemons {
		if _, err := fmt.Fprintf(w, "clock of %s adjusted by +%v\n", daemon, t.ClockOffsets[daemon]); err != nil {
			return err
		}
	}
	for _, line := range t.Lines {
		mark := " "
		if !line.Direct {
			mark = "-"
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %s %-14s %4d %s%s\n", line.Elapsed.Seconds(), mark, line.Daemon, line.Event, line.Message, line.formatFields()); err != nil {
			return err
		}
	}
	return nil
}
