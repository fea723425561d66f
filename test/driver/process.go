package driver

import (
	"encoding/json"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/host/operators"
)

// PID returns the process id of a running process, or 0 if no process with this name is running.
func (c *Cluster) PID(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if command, ok := c.processes[name]; ok {
		return command.Process.Pid
	}
	return 0
}

// LeaderOf returns the leader of a group, as reported by the first host whose status names one.
func (c *Cluster) LeaderOf(group int) (string, error) {
	printed, _, err := c.Run("status", "--json")
	if err != nil {
		return "", err
	}
	var reports []struct {
		Status *operators.HostStatus `json:"status"`
	}
	if err := json.Unmarshal([]byte(printed), &reports); err != nil {
		return "", fault.BadInput.Wrap(err, "cannot parse the output of the status command")
	}
	for _, report := range reports {
		if report.Status != nil && len(report.Status.Groups) > group && report.Status.Groups[group].Leader != "" {
			return string(report.Status.Groups[group].Leader), nil
		}
	}
	return "", fault.NotFound.New("group %d has no leader", group)
}
