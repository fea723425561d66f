package scenarios

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/operators"
)

// expectVoters HOST,HOST... waits until all running control hosts report exactly these hosts as the voters of every group.
func (s *scenario) expectVoters(ts *testscript.TestScript, args []string, named options) {
	s.wait(ts, "voters "+args[0], func() error {
		return s.checkStatuses(named, func(status operators.HostStatus) error {
			for _, group := range status.Groups {
				var names []string
				for _, voter := range group.Voters {
					name, _, _ := strings.Cut(voter, "/")
					names = append(names, name)
				}
				slices.Sort(names)
				if found := strings.Join(names, ","); found != args[0] {
					return fault.Conflict.New("group %d on %s has the voters %s", group.Group, status.Name, found)
				}
			}
			return nil
		})
	})
}

// expectReplaced HOST waits until the host has left its damaged logs aside and votes in every group with its new logs.
func (s *scenario) expectReplaced(ts *testscript.TestScript, args []string, named options) {
	host := args[0]
	s.wait(ts, host+" votes with new logs", func() error {
		return s.checkStatuses(named, func(status operators.HostStatus) error {
			for _, group := range status.Groups {
				if status.Name == unit.HostName(host) && group.LeftAside == "" {
					return fault.Conflict.New("group %d on %s has no log left aside", group.Group, host)
				}
				identity, err := s.cluster.LogIdentity(host, group.Group)
				if err != nil {
					return err
				}
				votes := func(voter string) bool { return strings.HasPrefix(voter, host+"/") }
				if at := slices.IndexFunc(group.Voters, votes); at < 0 || group.Voters[at] == host+"/"+identity {
					return fault.Conflict.New("group %d on %s has the voters %v", group.Group, status.Name, group.Voters)
				}
			}
			return nil
		})
	})
}

// expectTerm save NAME stores the term of group 0 on the hosts in the variable TERM_NAME. expectTerm same NAME fails if a
// host's term differs from the stored one.
func (s *scenario) expectTerm(ts *testscript.TestScript, args []string, named options) {
	variable := "TERM_" + args[1]
	s.wait(ts, "a term", func() error {
		return s.checkStatuses(named, func(status operators.HostStatus) error {
			if len(status.Groups) == 0 {
				return nil
			}
			found := strconv.FormatUint(status.Groups[0].Term, 10)
			if args[0] == "save" {
				ts.Setenv(variable, found)
			} else if found != ts.Getenv(variable) {
				s.fail(ts, "%s has term %s instead of %s", status.Name, found, ts.Getenv(variable))
			}
			return nil
		})
	})
}
