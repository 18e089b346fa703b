package trace

import (
	"fmt"
	"io"
	"sort"
)

// Print writes a story for people: one line an entry, marked with "-" if it only tells
// what a daemon or replica of the story went through.
func (s Story) Print(w io.Writer) error {
	daemons := make([]string, 0, len(s.Shifts))
	for daemon := range s.Shifts {
		daemons = append(daemons, daemon)
	}
	sort.Strings(daemons)
	for _, daemon := range daemons {
		if _, err := fmt.Fprintf(w, "the clock of %s is taken as %v ahead of what it shows\n", daemon, s.Shifts[daemon]); err != nil {
			return err
		}
	}
	for _, line := range s.Lines {
		mark := " "
		if !line.About {
			mark = "-"
		}
		if _, err := fmt.Fprintf(w, "%+9.3fs %s %-14s %4d %s%s\n", line.At.Seconds(), mark, line.Daemon, line.Event, line.Message, line.fieldsText()); err != nil {
			return err
		}
	}
	return nil
}
