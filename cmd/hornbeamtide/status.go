package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/fault"
	"github.com/hornbeamtide/hornbeamtide/fleet"
)

type statusCommand struct {
	remoteOptions
	outputOptions
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
	fmt.Fprintf(c.stdout, "daemon %s: %s, %d requests in flight, %d daemons live\n\n",
		status.Daemon, status.State, status.InFlight, len(status.Members))
	if err := printDocuments(c.stdout, status.Documents); err != nil {
		return err
	}
	fmt.Fprintln(c.stdout)
	printAlarms(c.stdout, status.RegionalAlarms)
	if status.DocumentsError != "" {
		return fault.New(fault.Unavailable, "can't determine on which daemons documents are in force: "+status.DocumentsError, "try again in a few seconds, or name another daemon with --address")
	}
	return nil
}

func printDocuments(w io.Writer, documents []fleet.ServiceStatus) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tVERSION\tIN FORCE\tBEHIND")
	for _, s := range documents {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\n", s.Service, s.Version, len(s.InForce), describeLagging(s.Lagging))
	}
	return table.Flush()
}

func describeLagging(lagging []fleet.LaggingMember) string {
	if len(lagging) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(lagging))
	for _, l := range lagging {
		parts = append(parts, fmt.Sprintf("%s at %d since %s", l.Member, l.Version, l.Since.UTC().Format(time.TimeOnly)))
	}
	return strings.Join(parts, ", ")
}

func printAlarms(w io.Writer, regional daemon.RegionalAlarms) {
	if len(regional.UnresponsiveDaemons) > 0 {
		fmt.Fprintf(w, "no response about alarms from: %s\n", strings.Join(regional.UnresponsiveDaemons, ", "))
	}
	if len(regional.Alarms) == 0 {
		fmt.Fprintln(w, "no alarms")
		return
	}
	for _, a := range regional.Alarms {
		fmt.Fprintf(w, "ALARM %s on %s, service %s, since %s, %d times\n",
			a.Promise, a.Daemon, orDash(a.Service), a.Since.UTC().Format(time.DateTime), a.Count)
		for _, e := range a.Evidence {
			fmt.Fprintf(w, "  %s %s: %s\n", e.At.UTC().Format(time.TimeOnly), orDash(e.Subject), e.Detail)
		}
		fmt.Fprintf(w, "  remedy: %s\n", a.Remedy)
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

type alarmsCommand struct {
	remoteOptions
	outputOptions
}

// Execute implements flags.Commander.
func (c *alarmsCommand) Execute([]string) error {
	var regional daemon.RegionalAlarms
	if err := c.getJSON("/v1/alarms?scope=region", &regional); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(regional)
	}
	printAlarms(c.stdout, regional)
	return nil
}

type dumpCommand struct {
	remoteOptions
	Module string `long:"module" value-name:"NAME" description:"print the state of this module only"`
}

// Execute implements flags.Commander.
func (c *dumpCommand) Execute([]string) error {
	var dump struct {
		Modules []struct {
			Module string          `json:"module"`
			State  json.RawMessage `json:"state"`
		} `json:"modules"`
	}
	response, err := c.call(http.MethodGet, "/v1/dump", "", nil)
	if err != nil {
		return err
	}
	if c.Module == "" {
		_, err = c.stdout.Write(response.body)
		return err
	}
	if err := decode(response.body, &dump); err != nil {
		return err
	}
	names := make([]string, 0, len(dump.Modules))
	for _, module := range dump.Modules {
		if module.Module == c.Module {
			return c.printJSON(module.State)
		}
		names = append(names, module.Module)
	}
	return fault.New(fault.Invalid, "unknown module "+c.Module, "use one of: "+strings.Join(names, ", "))
}
