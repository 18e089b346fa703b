package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hornbeamtide/hornbeamtide/alarm"
	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

type statusCommand struct {
	remote
	output
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	var status daemon.Status
	if err := c.getJSON("/v1/status", &status); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(status)
	}
	fmt.Fprintf(c.stdout, "daemon %s: %s, %d requests in progress, %d daemons live\n\n",
		status.Daemon, status.State, status.InProgress, len(status.Members))
	if err := printDocuments(c.stdout, status.Documents); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	printAlarms(c.stdout, status.Alarms)
	return nil
}

func printDocuments(w io.Writer, documents []fleet.ServiceStatus) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tVERSION\tIN FORCE\tBEHIND")
	for _, s := range documents {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", s.Service, s.Version, len(s.InForce), describeBehind(s.Behind))
	}
	return table.Flush()
}

func describeBehind(behind []fleet.Behind) string {
	if len(behind) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(behind))
	for _, b := range behind {
		parts = append(parts, fmt.Sprintf("%s at %d since %s", b.Member, b.Version, b.Since.UTC().Format(time.TimeOnly)))
	}
	return strings.Join(parts, ", ")
}

func printAlarms(w io.Writer, alarms []alarm.Alarm) {
	if len(alarms) == 0 {
		fmt.Fprintln(w, "no alarms")
		return
	}
	for _, a := range alarms {
		fmt.Fprintf(w, "ALARM %s %s since %s, %d times\n", a.Promise, a.Service, a.Since.UTC().Format(time.DateTime), a.Count)
		for _, e := range a.Evidence {
			fmt.Fprintf(w, "  %s %s: %s\n", e.At.UTC().Format(time.TimeOnly), e.Subject, e.Detail)
		}
		fmt.Fprintf(w, "  remedy: %s\n", a.Remedy)
	}
}
