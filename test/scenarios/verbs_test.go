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

// verb is one command of the scripts.
type verb = func(ts *testscript.TestScript, neg bool, args []string)

// verbs are the project's own commands; README.md describes them.
var verbs = map[string]verb{
	"start":         plain((*scenario).start),
	"kill-process":  plain((*scenario).kill),
	"stop-process":  plain((*scenario).stop),
	"freeze":        plain((*scenario).freeze),
	"thaw":          plain((*scenario).thaw),
	"restart":       plain((*scenario).restart),
	"wipe-disk":     plain((*scenario).wipeDisk),
	"cut":           plain(func(s *scenario, _ *testscript.TestScript, args []string) { s.part(args, true) }),
	"heal":          plain(func(s *scenario, _ *testscript.TestScript, args []string) { s.part(args, false) }),
	"leader":        plain((*scenario).leader),
	"adjust":        plain((*scenario).adjust),
	"began":         plain((*scenario).began),
	"find":          plain((*scenario).find),
	"weights":       plain((*scenario).weights),
	"terminate":     plain((*scenario).terminate),
	"ended":         plain((*scenario).ended),
	"drain":         plain((*scenario).drain),
	"save":          plain((*scenario).save),
	"foreign-bytes": plain((*scenario).foreignBytes),
	"announce":      plain((*scenario).announce),
	"race":          plain((*scenario).race),
	"join":          plain((*scenario).join),
	"orders":        plain((*scenario).orders),
	"submit":        plain((*scenario).submit),
	"request":       plain((*scenario).request),
	"await":         plain((*scenario).await),
	"leave":         plain((*scenario).leave),
	"continue":      plain((*scenario).resume),
	"expect":        plain((*scenario).expect),
}

// plain makes a verb that can't be negated and that counts as an event, which promised times are measured from.
func plain(do func(s *scenario, ts *testscript.TestScript, args []string)) verb {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("the verb can't be negated")
		}
		do(stateOf(ts), ts, args)
	}
}

// start hosts N [controls [flags]] | engines N [flags] | engine NUMBER [flags] | services N | store.
func (s *scenario) start(ts *testscript.TestScript, args []string) {
	count := 1
	if len(args) > 1 {
		count = number(ts, args[1])
	}
	switch args[0] {
	case "hosts":
		controls := count
		if len(args) > 2 {
			controls = number(ts, args[2])
		}
		s.startHosts(ts, count, controls, args[min(len(args), 3):])
	case "engine":
		ts.Check(s.cluster.StartEndpoint("engine", "taalmodel", count, args[2:]...))
	case "engines":
		for i := range count {
			ts.Check(s.cluster.StartEndpoint("engine", "taalmodel", i+1, args[2:]...))
		}
	case "services":
		// Without slots a service announces none, and an entry host sends it one request at a time.
		for i := range count {
			ts.Check(s.cluster.StartEndpoint("service", "koppel-app", i+1, append([]string{"--slots=16"}, args[2:]...)...))
		}
	case "store":
		ts.Check(s.cluster.StartEndpoint("store", "prompt-geheugen", 1))
	default:
		ts.Fatalf("can't start %q", args[0])
	}
	s.event = time.Now()
}

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

func (s *scenario) kill(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		// A killed process's exit error says only that it was killed.
		_ = s.cluster.Stop(name, syscall.SIGKILL)
		if s.cluster.Running(name) {
			ts.Fatalf("%s still runs", name)
		}
	}
	s.event = time.Now()
}

// stop NAME... sends SIGTERM to all of them and fails if one doesn't end with exit code 0.
func (s *scenario) stop(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGTERM))
	}
	for _, name := range args {
		if err := s.cluster.Wait(name); err != nil {
			s.fail(ts, "%s ended with %v", name, err)
		}
	}
	s.event = time.Now()
}

// terminate NAME sends SIGTERM and doesn't wait; ended NAME waits and fails unless the exit code is 0.
func (s *scenario) terminate(ts *testscript.TestScript, args []string) {
	ts.Check(s.cluster.Signal(args[0], syscall.SIGTERM))
	s.event = time.Now()
}

func (s *scenario) ended(ts *testscript.TestScript, args []string) {
	if err := s.cluster.Wait(args[0]); err != nil {
		s.fail(ts, "%s ended with %v", args[0], err)
	}
}

// drain ENDPOINT HOST orders a drain through one host.
func (s *scenario) drain(ts *testscript.TestScript, args []string) {
	if _, _, err := s.cluster.Run("endpoint", "drain", "--operator-hosts", s.cluster.Host(args[1]).Operator, args[0]); err != nil {
		s.fail(ts, "%v", err)
	}
	s.event = time.Now()
}

func (s *scenario) freeze(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGSTOP))
	}
	s.event = time.Now()
}

func (s *scenario) thaw(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.Signal(name, syscall.SIGCONT))
	}
	s.event = time.Now()
}

// restart NAME... [--flag=value...].
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
	s.event = time.Now()
}

func (s *scenario) wipeDisk(ts *testscript.TestScript, args []string) {
	for _, name := range args {
		ts.Check(s.cluster.RemoveData(name))
	}
}

// part is cut and heal: no name means every pair, one name that host and all others.
func (s *scenario) part(args []string, cut bool) {
	names := append(append([]string(nil), args...), "", "")
	s.cluster.SetPartition(names[0], names[1], cut)
	s.event = time.Now()
}

// leader VARIABLE GROUP sets VARIABLE to the group's leader and VARIABLE_1 and so on to the other control hosts. A customer's
// name stands for the ledger group of that customer.
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

// adjust ENDPOINT JSON changes the settings of a stand-in; adjust ENDPOINT crash|drain is a call of its control interface.
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
		ts.Fatalf("%s answers %d: %s", args[0], answer.StatusCode, text)
	}
	s.event = time.Now()
}

// submit SHEET VERSION [flags] [via=HOST] [on=HOST,...] submits a sheet and waits until the hosts serve the version, unless it is "-".
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
		s.fail(ts, "the sheet wasn't accepted: %v", err)
	}
	s.event = time.Now()
	if args[1] != "-" {
		s.expectVersion(ts, number(ts, args[1]), named)
	}
}

// orders COUNT SHEET SHEET submits two sheets in turn.
func (s *scenario) orders(ts *testscript.TestScript, args []string) {
	for i := range number(ts, args[0]) {
		if _, _, err := s.cluster.Run("sheet", "submit", ts.MkAbs(args[1+i%2])); err != nil {
			s.fail(ts, "change %d wasn't accepted: %v", i+1, err)
		}
	}
	s.event = time.Now()
}

// race BASE SHEET SHEET submits two sheets for one base version at the same time, as the operators anna and bert. Exactly one
// must be accepted and the other operator must be told who won. WINNER and LOSER are set to their names.
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
	s.event = time.Now()
	ts.Setenv("WINNER", names[winner])
	ts.Setenv("LOSER", names[1-winner])
	ts.Setenv("WINNER_SHEET", args[1+winner])
}

// join HOST adds a restarted control host as soon as it has announced itself.
func (s *scenario) join(ts *testscript.TestScript, args []string) {
	s.wait(ts, args[0]+" joins", func() error {
		_, _, err := s.cluster.Run("member", "add", args[0])
		return err
	})
}

// find VARIABLE ID,ID... waits until one of the engines runs a request and sets VARIABLE to it, VARIABLE_1 and so on to the
// others.
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
		return fault.NoEndpoint.New("no engine runs anything")
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

// weights VERSION HOST orders weights of taalmodel through one host, as soon as it finds a leader.
func (s *scenario) weights(ts *testscript.TestScript, args []string) {
	s.wait(ts, "an accepted order for "+args[0], func() error {
		_, _, err := s.cluster.Run("weights", "set", "--order-id", "weights-"+args[0], "--operator-hosts",
			s.cluster.Host(args[1]).Operator, "taalmodel="+args[0])
		return err
	})
	s.event = time.Now()
}

// options are the key=value arguments of a verb.
type options map[string]string

func parse(args []string) (positional []string, named options) {
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

// hosts returns the hosts named in on=A,B, or all running ones.
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

func (s *scenario) statuses(named options, check func(operators.HostStatus) error) error {
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

func number(ts *testscript.TestScript, text string) int {
	value, err := strconv.Atoi(text)
	ts.Check(err)
	return value
}
