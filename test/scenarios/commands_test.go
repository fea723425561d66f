package scenarios

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/ledger"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/test/driver"
)

// command is the function type of a testscript command.
type command = func(ts *testscript.TestScript, neg bool, args []string)

// commands are the testscript commands of this package. README.md describes them.
var commands = map[string]command{
	"start":         withoutNegation((*scenario).start),
	"kill-process":  withoutNegation((*scenario).kill),
	"stop-process":  withoutNegation((*scenario).stop),
	"freeze":        withoutNegation((*scenario).freeze),
	"thaw":          withoutNegation((*scenario).thaw),
	"restart":       withoutNegation((*scenario).restart),
	"wipe-disk":     withoutNegation((*scenario).wipeDisk),
	"damage-logs":   withoutNegation((*scenario).damageLogs),
	"cut":           withoutNegation(func(s *scenario, _ *testscript.TestScript, args []string) { s.setPartition(args, true) }),
	"heal":          withoutNegation(func(s *scenario, _ *testscript.TestScript, args []string) { s.setPartition(args, false) }),
	"leader":        withoutNegation((*scenario).leader),
	"adjust":        withoutNegation((*scenario).adjust),
	"began":         withoutNegation((*scenario).began),
	"find":          withoutNegation((*scenario).find),
	"weights":       withoutNegation((*scenario).weights),
	"terminate":     withoutNegation((*scenario).terminate),
	"ended":         withoutNegation((*scenario).ended),
	"drain":         withoutNegation((*scenario).drain),
	"save":          withoutNegation((*scenario).save),
	"foreign-bytes": withoutNegation((*scenario).sendForeignBytes),
	"announce":      withoutNegation((*scenario).announce),
	"race":          withoutNegation((*scenario).race),
	"join":          withoutNegation((*scenario).join),
	"orders":        withoutNegation((*scenario).orders),
	"submit":        withoutNegation((*scenario).submit),
	"request":       withoutNegation((*scenario).request),
	"await":         withoutNegation((*scenario).await),
	"leave":         withoutNegation((*scenario).leave),
	"continue":      withoutNegation((*scenario).resume),
	"expect":        withoutNegation((*scenario).expect),
}

// withoutNegation returns a testscript command that calls do with the script's scenario and that can't be negated with !.
func withoutNegation(do func(s *scenario, ts *testscript.TestScript, args []string)) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the command can't be negated with !")
		}
		do(scenarioOf(ts), ts, args)
	}
}

// start hosts N [CONTROLS [flags]] | engines N [flags] | engine NUMBER [flags] | services N [flags] | store starts hosts or
// emulated endpoints.
func (s *scenario) start(ts *testscript.TestScript, args []string) {
	count := 1
	if len(args) > 1 {
		count = parseNumber(ts, args[1])
	}
	switch args[0] {
	case "hosts":
		controls := count
		if len(args) > 2 {
			controls = parseNumber(ts, args[2])
		}
		s.startHosts(ts, count, controls, args[min(len(args), 3):])
	case "engine":
		ts.Check(s.cluster.StartEndpoint("engine", "taalmodel", count, args[2:]...))
	case "engines":
		for i := range count {
			ts.Check(s.cluster.StartEndpoint("engine", "taalmodel", i+1, args[2:]...))
		}
	case "services":
		// Without this flag, a service announces no slots, and an entry host sends it only one request at a time.
		for i := range count {
			ts.Check(s.cluster.StartEndpoint("service", "koppel-app", i+1, append([]string{"--slots=16"}, args[2:]...)...))
		}
	case "store":
		ts.Check(s.cluster.StartEndpoint("store", "prompt-geheugen", 1))
	default:
		ts.Fatalf("cannot start %q", args[0])
	}
	s.lastChange = time.Now()
}

// startHosts starts a cluster with relays between its hosts and waits until the control hosts know a leader of every group.
func (s *scenario) startHosts(ts *testscript.TestScript, hosts, controls int, flags []string) {
	var err error
	s.cluster, err = driver.New(binary, s.folder, hosts, controls)
	ts.Check(err)
	ts.Check(s.cluster.AddRelays())
	ts.Setenv("CITRONGLADE_KEYS_FOLDER", s.cluster.KeysFolder())
	ts.Setenv("CITRONGLADE_OPERATOR_HOSTS", s.cluster.OperatorAddresses())
	ts.Setenv("OPERATOR_LIST", s.cluster.OperatorAddresses())
	for _, host := range s.cluster.Hosts {
		host.ExtraFlags = flags
		ts.Setenv("OPERATOR_"+strings.ReplaceAll(host.Name, "-", "_"), host.Operator)
	}
	ts.Check(s.cluster.StartHosts())
	s.wait(ts, "a leader of every group", func() error {
		for _, host := range s.cluster.Hosts[:controls] {
			if err := s.hasLeaders(host); err != nil {
				return err
			}
		}
		return nil
	})
}

// hasLeaders returns an error if a host knows no leader of one of its groups.
func (s *scenario) hasLeaders(host *driver.Host) error {
	status, err := s.cluster.Status(host)
	if err != nil {
		return err
	}
	for _, group := range status.Groups {
		if group.Leader == "" {
			return fault.NoQuorum.New("%s knows no leader of group %d", host.Name, group.Group)
		}
	}
	return nil
}

// kill NAME... sends SIGKILL and waits until the processes have exited.
func (s *scenario) kill(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		// The exit error is ignored, because it only says that the process was killed.
		_ = s.cluster.Stop(name, syscall.SIGKILL)
		if s.cluster.Running(name) {
			ts.Fatalf("%s is still running", name)
		}
	}
	s.lastChange = time.Now()
}

// stop NAME... sends SIGTERM to the processes, waits until they have exited and fails if an exit code is not 0.
func (s *scenario) stop(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGTERM))
	}
	for _, name := range args {
		if err := s.cluster.Wait(name); err != nil {
			s.fail(ts, "%s exited with %v", name, err)
		}
	}
	s.lastChange = time.Now()
}

// terminate NAME sends SIGTERM and doesn't wait until the process has exited.
func (s *scenario) terminate(ts *testscript.TestScript, args []string) {
	ts.Check(s.cluster.Signal(args[0], syscall.SIGTERM))
	s.lastChange = time.Now()
}

// ended NAME waits until a process has exited and fails if the exit code is not 0.
func (s *scenario) ended(ts *testscript.TestScript, args []string) {
	if err := s.cluster.Wait(args[0]); err != nil {
		s.fail(ts, "%s exited with %v", args[0], err)
	}
}

// drain ENDPOINT HOST orders the drain of an endpoint through the operator interface of a host.
func (s *scenario) drain(ts *testscript.TestScript, args []string) {
	if _, _, err := s.cluster.Run("endpoint", "drain", "--operator-hosts", s.cluster.Host(args[1]).Operator, args[0]); err != nil {
		s.fail(ts, "%v", err)
	}
	s.lastChange = time.Now()
}

// freeze NAME... suspends processes with SIGSTOP.
func (s *scenario) freeze(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGSTOP))
	}
	s.lastChange = time.Now()
}

// thaw NAME... resumes suspended processes with SIGCONT.
func (s *scenario) thaw(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGCONT))
	}
	s.lastChange = time.Now()
}

// restart NAME... [--flag=value...] starts processes that have exited again, with additional flags.
func (s *scenario) restart(ts *testscript.TestScript, args []string) {
	var names, flags []string
	for _, arg := range args {
		if strings.HasPrefix(arg, "--") {
			flags = append(flags, arg)
		} else {
			names = append(names, arg)
		}
	}
	for _, name := range names {
		ts.Check(s.cluster.Restart(name, flags...))
	}
	s.lastChange = time.Now()
}

// wipeDisk NAME... removes the data folders of hosts that have exited.
func (s *scenario) wipeDisk(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.RemoveData(name))
	}
}

// damageLogs NAME... flips a bit in the logs of hosts that have exited, in records that were synced.
func (s *scenario) damageLogs(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.DamageLogs(name))
	}
}

// setPartition implements the commands cut and heal. Two names stand for the link between these hosts, one name for all links
// of that host, and no name for all links.
func (s *scenario) setPartition(args []string, partitioned bool) {
	names := append(append([]string(nil), args...), "", "")
	s.cluster.SetPartition(names[0], names[1], partitioned)
	s.lastChange = time.Now()
}

// leader VARIABLE GROUP waits until a group has a leader and sets VARIABLE to it, and VARIABLE_1, VARIABLE_2 and so on to the
// other control hosts. GROUP is a number or the name of a customer, which stands for the customer's ledger group.
func (s *scenario) leader(ts *testscript.TestScript, args []string) {
	group, err := strconv.Atoi(args[1])
	if err != nil {
		group = int(ledger.Shard(unit.CustomerID(args[1]), 2))
	}
	var found string
	s.wait(ts, "a leader of group "+args[1], func() error {
		found = ""
		for _, host := range s.cluster.Hosts {
			status, err := s.cluster.Status(host)
			if err != nil || group >= len(status.Groups) {
				continue
			}
			if string(status.Groups[group].Leader) == host.Name {
				found = host.Name
				return nil
			}
		}
		return fault.NoQuorum.New("no host leads group %d", group)
	})
	ts.Setenv(args[0], found)
	others := 0
	for _, host := range s.cluster.Hosts {
		if host.Name != found && strings.Contains(host.Roles, "control") {
			others++
			ts.Setenv(fmt.Sprintf("%s_%d", args[0], others), host.Name)
		}
	}
}

// adjust ENDPOINT JSON changes the settings of an emulated endpoint. adjust ENDPOINT crash|drain calls the function of this
// name in its control interface.
func (s *scenario) adjust(ts *testscript.TestScript, args []string) {
	path, body := "settings", args[1]
	if !strings.HasPrefix(body, "{") {
		path, body = body, ""
	}
	answer, err := http.Post("http://"+s.cluster.EndpointAddress(args[0])+"/emulator/v1/"+path, "application/json", bytes.NewBufferString(body))
	ts.Check(err)
	defer answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(answer.Body)
		ts.Fatalf("%s answered with status %d: %s", args[0], answer.StatusCode, text)
	}
	s.lastChange = time.Now()
}

// submit SHEET VERSION [flags] [via=HOST] [on=HOST,...] submits a sheet, through one host if via is given, and waits until the
// hosts serve VERSION. It doesn't wait if VERSION is "-".
func (s *scenario) submit(ts *testscript.TestScript, args []string) {
	command, named := []string{"sheet", "submit"}, options{}
	for _, arg := range args[2:] {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "on":
			named["on"] = value
		case "via":
			command = append(command, "--operator-hosts", s.cluster.Host(value).Operator)
		default:
			command = append(command, arg)
		}
	}
	if err := ts.Exec("citronglade", append(command, args[0])...); err != nil {
		s.fail(ts, "the sheet was not accepted: %v", err)
	}
	s.lastChange = time.Now()
	if args[1] != "-" {
		s.expectVersion(ts, parseNumber(ts, args[1]), named)
	}
}

// orders COUNT SHEET SHEET submits two sheets alternately, COUNT submissions in total.
func (s *scenario) orders(ts *testscript.TestScript, args []string) {
	for i := range parseNumber(ts, args[0]) {
		if _, _, err := s.cluster.Run("sheet", "submit", ts.MkAbs(args[1+i%2])); err != nil {
			s.fail(ts, "submission %d was not accepted: %v", i+1, err)
		}
	}
	s.lastChange = time.Now()
}

// race BASE SHEET SHEET submits two sheets for one base version at the same time, as the operators anna and bert. Exactly one
// of them must be accepted, and the error of the other one must name the operator whose sheet was accepted. WINNER and LOSER
// are set to the operators' names and WINNER_SHEET to the accepted sheet.
func (s *scenario) race(ts *testscript.TestScript, args []string) {
	names := []string{"anna", "bert"}
	if _, _, err := s.cluster.Run("keys", "operator", "anna", "bert"); err != nil {
		s.fail(ts, "%v", err)
	}
	var errs [2]error
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() {
			_, _, errs[i] = s.cluster.Run("sheet", "submit", "--operator", name, "--order-id", name+"-1", "--base-version", args[0],
				"--operator-hosts", s.cluster.Hosts[i].Operator, ts.MkAbs(args[1+i]))
		})
	}
	group.Wait()
	winner := slices.Index(errs[:], nil)
	if winner < 0 || errs[1-winner] == nil || !strings.Contains(errs[1-winner].Error(), names[winner]) {
		s.fail(ts, "anna got %v, bert got %v", errs[0], errs[1])
	}
	s.lastChange = time.Now()
	ts.Setenv("WINNER", names[winner])
	ts.Setenv("LOSER", names[1-winner])
	ts.Setenv("WINNER_SHEET", args[1+winner])
}

// join HOST adds a restarted control host to the control hosts' groups. It retries until the order is accepted.
func (s *scenario) join(ts *testscript.TestScript, args []string) {
	s.wait(ts, args[0]+" joins", func() error {
		_, _, err := s.cluster.Run("member", "add", args[0])
		return err
	})
}

// find VARIABLE ID,ID... waits until one of the engines runs a request and sets VARIABLE to its id, and VARIABLE_1, VARIABLE_2
// and so on to the ids of the others.
func (s *scenario) find(ts *testscript.TestScript, args []string) {
	ids := strings.Split(args[1], ",")
	found := ""
	s.wait(ts, "an engine that runs a request", func() error {
		for _, id := range ids {
			var counters struct {
				Running int `json:"running"`
			}
			err := driver.Get("http://"+s.cluster.EndpointAddress(id)+"/emulator/v1/counters", &counters)
			if err == nil && counters.Running > 0 {
				found = id
				return nil
			}
		}
		return fault.NoEndpoint.New("no engine runs a request")
	})
	ts.Setenv(args[0], found)
	others := 0
	for _, id := range ids {
		if id != found {
			others++
			ts.Setenv(fmt.Sprintf("%s_%d", args[0], others), id)
		}
	}
}

// weights VERSION HOST orders weights of the model taalmodel through one host. It retries until the order is accepted.
func (s *scenario) weights(ts *testscript.TestScript, args []string) {
	s.wait(ts, "an accepted order for "+args[0], func() error {
		_, _, err := s.cluster.Run("weights", "set", "--order-id", "weights-"+args[0], "--operator-hosts",
			s.cluster.Host(args[1]).Operator, "taalmodel="+args[0])
		return err
	})
	s.lastChange = time.Now()
}

// options are the key=value arguments of a command.
type options map[string]string

// parseArguments separates key=value arguments from positional ones. Arguments whose key contains /, <, > or a space are
// positional.
func parseArguments(args []string) (positional []string, named options) {
	named = options{}
	for _, arg := range args {
		if key, value, found := strings.Cut(arg, "="); found && !strings.ContainsAny(key, "/<> ") {
			named[key] = value
		} else {
			positional = append(positional, arg)
		}
	}
	return positional, named
}

// hosts returns the hosts named by on=HOST,HOST..., or all running hosts if on isn't given.
func (s *scenario) hosts(named options) []*driver.Host {
	var hosts []*driver.Host
	for _, host := range s.cluster.Hosts {
		if on, given := named["on"]; given {
			if strings.Contains(","+on+",", ","+host.Name+",") {
				hosts = append(hosts, host)
			}
		} else if s.cluster.Running(host.Name) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// checkStatuses calls check with the status of each host that hosts returns and returns the first error.
func (s *scenario) checkStatuses(named options, check func(operators.HostStatus) error) error {
	for _, host := range s.hosts(named) {
		status, err := s.cluster.Status(host)
		if err != nil {
			return err
		}
		if err := check(status); err != nil {
			return err
		}
	}
	return nil
}

func parseNumber(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)
	return value
}
