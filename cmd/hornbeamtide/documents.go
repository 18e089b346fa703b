package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"text/tabwriter"

	"github.com/hornbeamtide/hornbeamtide/daemon"
	"github.com/hornbeamtide/hornbeamtide/document"
	"github.com/hornbeamtide/hornbeamtide/fault"
)

// versionLine is the first line that get prints and apply reads.
var versionLine = regexp.MustCompile(`^; version (\d{1,18})\r?\n`)

type applyCommand struct {
	remote
	output
	Version *int64 `long:"version" value-name:"N" description:"version that was read; default: the file's first line '; version N', else 0 for a new document"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes" description:"document"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	source, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the document can't be read", "name an existing file")
	}
	parsed, err := document.Parse(c.Args.File, source)
	if err != nil {
		return err
	}
	version := c.baseVersion(source)
	header := http.Header{"If-Match": {strconv.FormatInt(version, 10)}}
	got, err := c.call(http.MethodPut, "/v1/documents/"+parsed.Service, string(versionLine.ReplaceAll(source, nil)), header)
	if err != nil {
		return err
	}
	var info daemon.DocumentInfo
	if err := json.Unmarshal(got.body, &info); err != nil {
		return fault.Wrap(err, fault.Unavailable, "the answer is not JSON", "use the same version for daemon and tool")
	}
	if c.JSON {
		return c.printJSON(info)
	}
	fmt.Fprintf(c.stdout, "%s: version %d accepted\n", info.Service, info.Version)
	return nil
}

// baseVersion returns the version that the change is based on.
func (c *applyCommand) baseVersion(source []byte) int64 {
	if c.Version != nil {
		return *c.Version
	}
	if m := versionLine.FindSubmatch(source); m != nil {
		version, _ := strconv.ParseInt(string(m[1]), 10, 64)
		return version
	}
	return 0
}

type getCommand struct {
	remote
	output
	Args struct {
		Service string `positional-arg-name:"SERVICE" description:"service; all documents are listed without it"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	if c.Args.Service == "" {
		return c.list()
	}
	got, err := c.call(http.MethodGet, "/v1/documents/"+c.Args.Service, "", nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.printJSON(documentText{c.Args.Service, got.version, string(got.body)})
	}
	fmt.Fprintf(c.stdout, "; version %d\n%s", got.version, got.body)
	return nil
}

// documentText is what get --json prints for one service.
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
