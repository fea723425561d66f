// Package sheet implements the sheet subcommand, which checks, compares, submits and shows the planners' sheet.
package sheet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

const (
	baseFlag  = "base-version"
	orderFlag = "order-id"
)

const example = `Example: check this morning's export, see what it changes, submit it.

   citronglade sheet check monday.csv
   citronglade sheet diff monday.csv
   citronglade sheet submit --order-id monday-1 monday.csv
   citronglade sheet show

A sheet is a CSV file (comma or semicolon) or an .xlsx workbook. Every problem is listed with row, column, what was found
and what was expected; nothing of a sheet with problems is applied. An order that is sent again with the same --order-id
gets its first answer.`

// New returns the sheet command.
func New() *cli.Command {
	online := func(more ...cli.Flag) []cli.Flag { return append(append(client.Flags(), output.Flag()), more...) }
	return &cli.Command{
		Name: "sheet", Usage: "check, compare, submit and show the planners' sheet", Description: example,
		Commands: []*cli.Command{
			{Name: "check", Usage: "list every problem of a sheet", ArgsUsage: "FILE", Flags: []cli.Flag{output.Flag()}, Action: check},
			{Name: "diff", Usage: "show what a sheet would change", ArgsUsage: "FILE", Flags: online(), Action: diff},
			{Name: "submit", Usage: "put a sheet in force", ArgsUsage: "FILE", Action: submit, Flags: online(
				&cli.StringFlag{Name: orderFlag, Usage: "id of this order; the same id is never applied twice (default: random)"},
				&cli.Uint64Flag{Name: baseFlag, Usage: "version that the sheet was made for (default: the current one)"},
			)},
			{Name: "show", Usage: "print the sheet in force", Flags: online(), Action: show},
		},
	}
}

func check(_ context.Context, c *cli.Command) error {
	parsed, err := parseArgument(c)
	if err != nil {
		return err
	}
	summary := map[string]any{
		"sheet-digest": parsed.Digest(), "customers": len(parsed.Customers), "classes": len(parsed.Classes), "rules": len(parsed.Rules),
	}
	return output.New(c).Result(summary, func(p *output.Printer) {
		p.Linef("the sheet is good: %d customers, %d classes, %d rules", len(parsed.Customers), len(parsed.Classes), len(parsed.Rules))
		p.Linef("sheet digest %s", parsed.Digest())
	})
}

// parseArgument parses the sheet file that the command line names. If the sheet has problems, it prints all of them and fails
// with fault.BadInput.
func parseArgument(c *cli.Command) (*sheet.Sheet, error) {
	if c.NArg() != 1 {
		return nil, fault.BadSetting.New("name one sheet file")
	}
	path := c.Args().First()
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, fault.NotFound.Wrap(err, "cannot read the sheet")
	}
	parsed, problems, err := sheet.Parse(path, data)
	if err != nil {
		return nil, err
	}
	if len(problems) == 0 {
		return parsed, nil
	}
	rows := make([][]string, 0, len(problems))
	for _, problem := range problems {
		rows = append(rows, []string{fmt.Sprint(problem.Row), problem.Column, problem.Found, problem.Expected})
	}
	_ = output.New(c).Result(problems, func(p *output.Printer) {
		p.Table([]string{"ROW", "COLUMN", "FOUND", "EXPECTED"}, rows)
	})
	return nil, fault.BadInput.New("%s has %d problems, nothing was applied", path, len(problems))
}

func diff(ctx context.Context, c *cli.Command) error {
	parsed, err := parseArgument(c)
	if err != nil {
		return err
	}
	current, _, err := currentSheet(ctx, c)
	if err != nil {
		return err
	}
	changes := sheet.Diff(current, parsed)
	return output.New(c).Result(changes, func(p *output.Printer) {
		for _, change := range changes {
			p.Linef("%s", change)
		}
		p.Linef("%d changes", len(changes))
	})
}

func submit(ctx context.Context, c *cli.Command) error {
	parsed, err := parseArgument(c)
	if err != nil {
		return err
	}
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	order := operators.Order{ID: unit.OrderID(c.String(orderFlag)), Base: unit.ConfigurationVersion(c.Uint64(baseFlag)), Sheet: parsed.Encode()}
	if order.ID == "" {
		order.ID = unit.NewOrderID()
	}
	if !c.IsSet(baseFlag) {
		var current operators.Configuration
		if err := hosts.Get(ctx, "/configuration", &current); err != nil {
			return err
		}
		order.Base = current.Version
	}
	return Submit(ctx, c, hosts, order)
}

// Submit sends an order to the hosts and prints whether it was accepted. It fails with fault.Conflict if the order is refused,
// for instance because another order for the same base version came first.
func Submit(ctx context.Context, c *cli.Command, hosts *client.Client, order operators.Order) error {
	var answer operators.OrderAnswer
	if err := hosts.Post(ctx, "/orders", order, &answer); err != nil {
		return err
	}
	err := output.New(c).Result(answer, func(p *output.Printer) {
		if answer.Accepted {
			p.Linef("order %s is accepted as version %d", order.ID, answer.Version)
		}
	})
	if err != nil || answer.Accepted {
		return err
	}
	if answer.WinnerOrder != "" {
		return fault.Conflict.New("order %s is refused (%s): order %s of %s came first, the current version is %d",
			order.ID, answer.Reason, answer.WinnerOrder, answer.WinnerOperator, answer.Version)
	}
	return fault.Conflict.New("order %s is refused (%s), the current version is %d", order.ID, answer.Reason, answer.Version)
}

func show(ctx context.Context, c *cli.Command) error {
	current, configuration, err := currentSheet(ctx, c)
	if err != nil {
		return err
	}
	return output.New(c).Result(current, func(p *output.Printer) {
		p.Linef("version %d, sheet digest %s", configuration.Version, configuration.SheetDigest)
		var rows [][]string
		for _, customer := range current.Customers {
			rows = append(rows, []string{string(customer.ID), fmt.Sprint(customer.Limit), fmt.Sprint(customer.Burst), fmt.Sprint(customer.Weight)})
		}
		p.Table([]string{"CUSTOMER", "LIMIT/S", "BURST", "WEIGHT"}, rows)
		rows = nil
		for _, class := range current.Classes {
			rows = append(rows, []string{string(class.Name), fmt.Sprint(class.Urgency), class.Deadline.String(), class.MaxWait.String()})
		}
		p.Table([]string{"CLASS", "URGENCY", "DEADLINE", "MAX WAIT"}, rows)
		rows = nil
		for _, rule := range current.Rules {
			rows = append(rows, []string{fmt.Sprint(rule.Row), string(rule.Customer), rule.Target, rule.Operation, string(rule.Class), rule.Repeat})
		}
		p.Table([]string{"ROW", "CUSTOMER", "TARGET", "OPERATION", "CLASS", "REPEAT"}, rows)
	})
}

// currentSheet reads the sheet in force and its configuration from the hosts. Before the first order the sheet is empty.
func currentSheet(ctx context.Context, c *cli.Command) (*sheet.Sheet, operators.Configuration, error) {
	var current operators.Configuration
	hosts, err := client.New(c)
	if err != nil {
		return nil, current, err
	}
	if err := hosts.Get(ctx, "/configuration", &current); err != nil {
		return nil, current, err
	}
	if len(current.Sheet) == 0 {
		return &sheet.Sheet{}, current, nil
	}
	decoded, err := sheet.Decode(current.Sheet)
	return decoded, current, err
}
