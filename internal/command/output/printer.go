// Package output prints the results of commands: text and tables by default, JSON with --json.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// JSONFlag is the name of the flag that selects JSON output.
const JSONFlag = "json"

// Printer writes the result of one command.
type Printer struct {
	writer io.Writer
	json   bool
}

// Flag returns the --json flag.
func Flag() cli.Flag {
	return &cli.BoolFlag{Name: JSONFlag, Usage: "print JSON for programs"}
}

// New returns a printer that writes to the root command's writer in the format that the flags select.
func New(c *cli.Command) *Printer {
	return &Printer{writer: c.Root().Writer, json: c.Bool(JSONFlag)}
}

// Result prints value as JSON if --json is set; otherwise it calls printText to print text.
func (p *Printer) Result(value any, printText func(*Printer)) error {
	if !p.json {
		printText(p)
		return nil
	}
	encoder := json.NewEncoder(p.writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fault.Internal.Wrap(err, "cannot print the result")
	}
	return nil
}

// Table prints a header and the rows below it in aligned columns.
func (p *Printer) Table(header []string, rows [][]string) {
	w := tabwriter.NewWriter(p.writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	_ = w.Flush()
}

// Linef prints one formatted line of text, also if --json is set.
func (p *Printer) Linef(format string, arguments ...any) {
	_, _ = fmt.Fprintf(p.writer, format+"\n", arguments...)
}
