// Package status implements the status subcommand, which shows the state of hosts.
package status

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/command/client"
	"github.com/citronglade/citronglade/internal/command/output"
	"github.com/citronglade/citronglade/internal/host/operators"
)

const (
	versionFlag  = "wait-version"
	timeoutFlag  = "timeout"
	pollInterval = 100 * time.Millisecond
)

const example = `Example:

   citronglade status --operator-hosts 127.0.0.1:7400,127.0.0.1:7401
   citronglade status --operator-hosts 127.0.0.1:7400,127.0.0.1:7401 --wait-version 3

With --wait-version the command returns once every named host is ready and serves that version or a newer one.`

// New returns the status command.
func New() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show each host, its groups and the configuration it serves", Description: example,
		Flags: append(client.Flags(), output.Flag(),
			&cli.Uint64Flag{Name: versionFlag, Usage: "wait until all hosts serve this version"},
			&cli.DurationFlag{Name: timeoutFlag, Usage: "how long to wait", Value: 30 * time.Second},
		),
		Action: run,
	}
}

// report is the status of one host, or the error with which the call to it failed.
type report struct {
	Address string                `json:"address"`
	Status  *operators.HostStatus `json:"status,omitempty"`
	Error   string                `json:"error,omitempty"`
}

func run(ctx context.Context, c *cli.Command) error {
	hosts, err := client.New(c)
	if err != nil {
		return err
	}
	wanted := unit.ConfigurationVersion(c.Uint64(versionFlag))
	ctx, cancel := context.WithTimeout(ctx, c.Duration(timeoutFlag))
	defer cancel()
	reports := collect(ctx, hosts)
	for c.IsSet(versionFlag) && !allServe(reports, wanted) {
		if ctx.Err() != nil {
			_ = show(c, reports)
			return fault.NoQuorum.New("not all hosts serve version %d after %s", wanted, c.Duration(timeoutFlag))
		}
		timer.Sleep(ctx, pollInterval)
		reports = collect(ctx, hosts)
	}
	return show(c, reports)
}

func collect(ctx context.Context, hosts *client.Client) []report {
	var reports []report
	for _, address := range hosts.Hosts() {
		var status operators.HostStatus
		if err := hosts.GetFrom(ctx, address, "/status", &status); err != nil {
			reports = append(reports, report{Address: address, Error: err.Error()})
			continue
		}
		reports = append(reports, report{Address: address, Status: &status})
	}
	return reports
}

func allServe(reports []report, wanted unit.ConfigurationVersion) bool {
	for _, r := range reports {
		if r.Status == nil || !r.Status.Ready || r.Status.Configuration < wanted {
			return false
		}
	}
	return true
}

func show(c *cli.Command, reports []report) error {
	return output.New(c).Result(reports, func(p *output.Printer) {
		var hosts, groups, models [][]string
		for _, r := range reports {
			if r.Status == nil {
				hosts = append(hosts, []string{"?", r.Address, "unreachable", "", "", "", "", ""})
				continue
			}
			hosts = append(hosts, hostRow(r.Address, *r.Status))
			groups = append(groups, groupRows(*r.Status)...)
			models = append(models, modelRows(*r.Status)...)
		}
		p.Table([]string{"HOST", "ADDRESS", "STATE", "ROLES", "DATA CENTRE", "VERSION", "RUNNING", "ENDPOINTS"}, hosts)
		if len(groups) > 0 {
			p.Linef("")
			p.Table([]string{"HOST", "GROUP", "LEADER", "TERM", "APPLIED", "VOTERS", "LEARNERS", "LOG BYTES", "LEFT ASIDE"}, groups)
		}
		if len(models) > 0 {
			p.Linef("")
			p.Table([]string{"HOST", "MODEL", "TARGET", "DONE", "LOADING", "FAILED", "BLOCKED"}, models)
		}
	})
}

func hostRow(address string, s operators.HostStatus) []string {
	state := "ready"
	if !s.Ready {
		state = "not ready"
	}
	return []string{
		string(s.Name), address, state, strings.Join(s.Roles, ","), string(s.DataCentre), fmt.Sprint(s.Configuration),
		fmt.Sprint(s.Running), fmt.Sprint(s.Endpoints),
	}
}

func groupRows(s operators.HostStatus) [][]string {
	var rows [][]string
	for _, g := range s.Groups {
		rows = append(rows, []string{
			string(s.Name), fmt.Sprint(g.Group), string(g.Leader), fmt.Sprint(g.Term), fmt.Sprint(g.Applied),
			strings.Join(trimIdentities(g.Voters), ","), strings.Join(trimIdentities(g.Learners), ","), fmt.Sprint(g.LogBytes),
			g.LeftAside,
		})
	}
	return rows
}

// trimIdentities returns the member names without the disk identity, which follows the host name after a slash.
func trimIdentities(members []string) []string {
	var names []string
	for _, member := range members {
		name, _, _ := strings.Cut(member, "/")
		names = append(names, name)
	}
	return names
}

func modelRows(s operators.HostStatus) [][]string {
	var rows [][]string
	for _, m := range s.Rollout {
		rows = append(rows, []string{
			string(s.Name), string(m.Model), string(m.Target), fmt.Sprintf("%d/%d", m.Done, m.Replicas), fmt.Sprint(m.Loading),
			fmt.Sprint(m.Failed), m.Blocked,
		})
	}
	return rows
}
