// Package record implements the record subcommand, which exports and verifies the record of decisions.
package record

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/planning/sheet"
	"github.com/citronglade/citronglade/internal/record/audit"
	"github.com/citronglade/citronglade/internal/record/chain"
)

const (
	outputFlag = "output"
	sheetFlag  = "sheet"
)

const example = `Example: the monitor takes the record and checks it against this morning's sheet.

   citronglade record export --output monday.jsonl
   citronglade record verify --sheet monday.csv monday.jsonl

Verify exits with 1 when it finds a problem: a gap, an edited entry, a decision that the sheet doesn't allow, or a
once-only request that was dispatched twice. Name every sheet that was in force in the time of the record.`

// New returns the record command.
func New() *cli.Command {
	return &cli.Command{
		Name: "record", Usage: "export the record of decisions and verify it against the sheet", Description: example,
		Commands: []*cli.Command{
			{Name: "export", Usage: "merge the archives of all control hosts", Action: export, Flags: append(client.Flags(),
				&cli.StringFlag{Name: outputFlag, Usage: "file to write, one JSON object a line; - is standard output", Value: "-"},
			)},
			{Name: "verify", Usage: "check an exported record", ArgsUsage: "FILE", Action: verify, Flags: []cli.Flag{
				output.Flag(),
				&cli.StringSliceFlag{Name: sheetFlag, Usage: "sheet that was in force; may be given several times", Required: true},
			}},
		},
	}
}

func export(ctx context.Context, c *cli.Command) error {
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	merged, err := hosts.Record(ctx, "")
	if err != nil {
		return err
	}
	if len(merged.Forks) > 0 || len(merged.Damaged) > 0 {
		output.New(c).Linef("%d entries contradict each other and %d are damaged in one archive's copy", len(merged.Forks), len(merged.Damaged))
	}
	if c.String(outputFlag) == "-" {
		return writeEntries(c.Root().Writer, merged.Entries)
	}
	file, err := os.Create(filepath.Clean(c.String(outputFlag)))
	if err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the record")
	}
	if err := writeEntries(file, merged.Entries); err != nil {
		_ = file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the record")
	}
	output.New(c).Linef("%d entries written to %s", len(merged.Entries), c.String(outputFlag))
	return nil
}

func writeEntries(w io.Writer, entries []chain.Entry) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, entry := range entries {
		if err := encoder.Encode(entry); err != nil {
			return fault.DiskFailed.Wrap(err, "cannot write the record")
		}
	}
	if err := buffered.Flush(); err != nil {
		return fault.DiskFailed.Wrap(err, "cannot write the record")
	}
	return nil
}

func verify(_ context.Context, c *cli.Command) error {
	if c.NArg() != 1 {
		return fault.BadSetting.New("name one record file")
	}
	entries, err := readEntries(c.Args().First())
	if err != nil {
		return err
	}
	var sheets []audit.Sheet
	for _, path := range c.StringSlice(sheetFlag) {
		parsed, err := readSheet(path)
		if err != nil {
			return err
		}
		sheets = append(sheets, parsed)
	}
	report := audit.Verify(entries, sheets...)
	if err := output.New(c).Result(report, func(p *output.Printer) { p.Linef("%s", report) }); err != nil {
		return err
	}
	if !report.Clean() {
		return fault.Conflict.New("the record has %d problems", report.Problems)
	}
	return nil
}

func readEntries(path string) ([]chain.Entry, error) {
	file, err := os.Open(filepath.Clean(path))
	if err != nil {
		return nil, fault.NotFound.Wrap(err, "cannot read the record")
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(bufio.NewReader(file))
	var entries []chain.Entry
	for {
		var entry chain.Entry
		err := decoder.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return nil, fault.BadInput.Wrap(err, "entry %d of %s can't be read", len(entries)+1, path)
		}
		entries = append(entries, entry)
	}
}

func readSheet(path string) (audit.Sheet, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return audit.Sheet{}, fault.NotFound.Wrap(err, "cannot read the sheet")
	}
	parsed, problems, err := sheet.Parse(path, data)
	if err != nil {
		return audit.Sheet{}, err
	}
	if len(problems) > 0 {
		return audit.Sheet{}, fault.BadInput.New("%s has %d problems, see citronglade sheet check", path, len(problems))
	}
	return audit.Sheet{
		Digest: parsed.Digest(),
		Match: func(customer unit.CustomerID, target, operation string) (audit.Rule, bool) {
			rule, class, ok := parsed.Match(customer, target, operation)
			return audit.Rule{Row: rule.Row, Class: rule.Class, Urgency: class.Urgency, Repeat: rule.Repeat}, ok
		},
		Limit: func(customer unit.CustomerID) (float64, bool) {
			found, ok := parsed.Customer(customer)
			return found.Limit, ok
		},
	}, nil
}
