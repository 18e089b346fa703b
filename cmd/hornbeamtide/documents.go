package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/hornbeamtide/hornbeamtide/daemon"
)

type getCommand struct {
	remoteOptions
	outputOptions
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"service; without it, all documents are listed"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Args.Service == "" {
		return c.list()
	}
	response, err := c.call(http.MethodGet, "/v1/documents/"+url.PathEscape(c.Args.Service), "", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(documentText{c.Args.Service, response.version, string(response.body)})
	}
	fmt.Fprintf(c.stdout, "; version %d\n%s", response.version, response.body)
	return nil
}

// documentText is the output of get --json for one service.
type documentText struct {
	Service string `json:"service"`
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

func (c *getCommand) list() error {
	var infos []daemon.DocumentInfo
	if err := c.getJSON("/v1/documents", &infos); err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(infos)
	}
	table := tabwriter.NewWriter(c.stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tTEAM\tVERSION")
	for _, info := range infos {
		fmt.Fprintf(table, "%s\t%s\t%d\n", info.Service, info.Team, info.Version)
	}
	return table.Flush()
}
