package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/test/driver"
)

// expectations maps the names of the states that the command expect can wait for to their checks.
var expectations = map[string]func(s *scenario, ts *testscript.TestScript, args []string, named options){
	"executions": (*scenario).expectExecutions,
	"version": func(s *scenario, ts *testscript.TestScript, args []string, named options) {
		s.expectVersion(ts, parseNumber(ts, args[0]), named)
	},
	"ready":       func(s *scenario, ts *testscript.TestScript, args []string, _ options) { s.expectReady(ts, args, true) },
	"unready":     func(s *scenario, ts *testscript.TestScript, args []string, _ options) { s.expectReady(ts, args, false) },
	"usable":      (*scenario).expectUsable,
	"endpoint":    (*scenario).expectEndpoint,
	"current":     (*scenario).expectCurrent,
	"busy":        (*scenario).expectEndpointRequests,
	"load":        (*scenario).expectHostRequests,
	"settled":     (*scenario).expectSettled,
	"counter":     (*scenario).expectCounter,
	"rollout":     (*scenario).expectRollout,
	"told":        (*scenario).expectExplained,
	"quarantined": (*scenario).expectQuarantined,
	"same":        (*scenario).expectUnchanged,
	"renewed":     (*scenario).expectRenewed,
	"grown":       (*scenario).expectGrown,
	"voters":      (*scenario).expectVoters,
	"replaced":    (*scenario).expectReplaced,
	"term":        (*scenario).expectTerm,
	"record":      (*scenario).expectRecord,
}

// expect STATE ... [key=value...] waits until a state is reached. With within=DURATION, some states must also be reached no
// later than DURATION after the last command that changed something.
func (s *scenario) expect(ts *testscript.TestScript, args []string) {
	positional, named := parseArguments(args)
	check, known := expectations[positional[0]]
	if !known {
		ts.Fatalf("unknown state %q", positional[0])
	}
	check(s, ts, positional[1:], named)
}

// waitWithin waits until condition holds. If within=DURATION is given, it fails if more time than that has passed since the
// last command that changed something.
func (s *scenario) waitWithin(ts *testscript.TestScript, named options, what string, condition func() error) {
	s.wait(ts, what, condition)
	duration, given := named["within"]
	if !given {
		return
	}
	limit, err := time.ParseDuration(duration)
	ts.Check(err)
	if took := time.Since(s.lastChange); took > limit {
		s.fail(ts, "%s took %s, the limit is %s", what, took.Round(time.Millisecond), limit)
	}
}

// expectExecutions KEY COUNT waits until the call with an idempotency key has been executed COUNT times and fails as soon as
// there are more executions. With COUNT as <=N it checks the current number without waiting.
func (s *scenario) expectExecutions(ts *testscript.TestScript, args []string, _ options) {
	if strings.HasPrefix(args[1], "<=") {
		found, err := s.cluster.Executions(args[0])
		ts.Check(err)
		ts.Check(s.compareCount(ts, "executions of "+args[0], found, args[1]))
		return
	}
	wanted := parseNumber(ts, args[1])
	s.wait(ts, fmt.Sprintf("%d executions of %s", wanted, args[0]), func() error {
		found, err := s.cluster.Executions(args[0])
		if err != nil {
			return err
		}
		if found > wanted {
			s.fail(ts, "%s ran %d times, expected %d", args[0], found, wanted)
		}
		if found < wanted {
			return fault.Conflict.New("%s ran %d times", args[0], found)
		}
		return nil
	})
}

// expectVersion waits until the hosts are ready and serve a version of the configuration.
func (s *scenario) expectVersion(ts *testscript.TestScript, wanted int, named options) {
	s.waitWithin(ts, named, fmt.Sprintf("version %d on every host", wanted), func() error {
		return s.checkStatuses(named, func(status operators.HostStatus) error {
			if status.Configuration != unit.ConfigurationVersion(wanted) || !status.Ready {
				return fault.StaleConfiguration.New("%s serves version %d, ready %t", status.Name, status.Configuration, status.Ready)
			}
			return nil
		})
	})
}

// expectReady waits until the readiness checks of the hosts have the wanted result.
func (s *scenario) expectReady(ts *testscript.TestScript, names []string, wanted bool) {
	for _, name := range names {
		s.wait(ts, fmt.Sprintf("%s ready %t", name, wanted), func() error {
			ready, err := s.cluster.Ready(s.cluster.Host(name))
			if err == nil && ready != wanted {
				err = fault.Conflict.New("%s ready %t", name, ready)
			}
			return err
		})
	}
}

// expectUsable COUNT waits until every host knows exactly COUNT usable endpoints.
func (s *scenario) expectUsable(ts *testscript.TestScript, args []string, named options) {
	wanted := parseNumber(ts, args[0])
	s.waitWithin(ts, named, fmt.Sprintf("%d usable endpoints", wanted), func() error {
		for _, host := range s.hosts(named) {
			usable, err := s.cluster.UsableEndpoints(host)
			if err != nil {
				return err
			}
			if usable != wanted {
				return fault.NoEndpoint.New("%s knows %d usable endpoints", host.Name, usable)
			}
		}
		return nil
	})
}

// expectEndpoint ID|ID... STATE|STATE... waits until every host reports one of the endpoints in one of the states. With
// weights=W, this endpoint must also serve the weights W.
func (s *scenario) expectEndpoint(ts *testscript.TestScript, args []string, named options) {
	s.waitWithin(ts, named, fmt.Sprintf("endpoint %s %s", args[0], args[1]), func() error {
		for _, host := range s.hosts(named) {
			endpoint, err := s.firstEndpointIn(host, args[0], args[1])
			if err != nil {
				return err
			}
			if weights, given := named["weights"]; given && string(endpoint.Weights) != weights {
				return fault.Conflict.New("%s has weights %s on %s", args[0], endpoint.Weights, host.Name)
			}
		}
		return nil
	})
}

// expectCurrent ID,ID... waits until every host knows the engines as usable in their current incarnations.
func (s *scenario) expectCurrent(ts *testscript.TestScript, args []string, named options) {
	s.waitWithin(ts, named, "the current incarnations of "+args[0], func() error {
		for id := range strings.SplitSeq(args[0], ",") {
			engine, err := s.engineState(id)
			if err != nil {
				return err
			}
			for _, host := range s.hosts(named) {
				known, err := s.firstEndpointIn(host, id, "usable")
				if err != nil {
					return err
				}
				if known.Incarnation != engine.Incarnation {
					return fault.Conflict.New("%s knows %s in incarnation %d, not %d", host.Name, id, known.Incarnation, engine.Incarnation)
				}
			}
		}
		return nil
	})
}

// firstEndpointIn returns the first of the endpoints (ID|ID...) that a host reports in one of the states (STATE|STATE...).
func (s *scenario) firstEndpointIn(host *driver.Host, ids, states string) (endpoint operators.EndpointStatus, err error) {
	for id := range strings.SplitSeq(ids, "|") {
		if endpoint, err = s.findEndpoint(host, id); err == nil && matchesAny(endpoint.State, states) {
			return endpoint, nil
		}
	}
	if err == nil {
		err = fault.Conflict.New("%s is %s on %s", ids, endpoint.State, host.Name)
	}
	return endpoint, err
}

// expectEndpointRequests ID,ID... COUNT waits until one host counts COUNT running requests on the endpoints in total.
func (s *scenario) expectEndpointRequests(ts *testscript.TestScript, args []string, named options) {
	wanted := parseNumber(ts, args[1])
	s.wait(ts, fmt.Sprintf("%d requests running on %s", wanted, args[0]), func() error {
		for _, host := range s.hosts(named) {
			total := 0
			for id := range strings.SplitSeq(args[0], ",") {
				endpoint, err := s.findEndpoint(host, id)
				if err != nil {
					return err
				}
				total += endpoint.Running
			}
			if total == wanted {
				return nil
			}
		}
		return fault.Conflict.New("the number of requests running on %s differs", args[0])
	})
}

// expectHostRequests HOST COUNT waits until a host reports COUNT running requests.
func (s *scenario) expectHostRequests(ts *testscript.TestScript, args []string, _ options) {
	wanted := parseNumber(ts, args[1])
	s.wait(ts, fmt.Sprintf("%d requests on %s", wanted, args[0]), func() error {
		status, err := s.cluster.Status(s.cluster.Host(args[0]))
		if err == nil && status.Running != wanted {
			err = fault.Conflict.New("%d requests run on %s", status.Running, args[0])
		}
		return err
	})
}

// expectSettled KEY HOST resends a confirmation until it succeeds, and then checks that it was executed exactly once.
func (s *scenario) expectSettled(ts *testscript.TestScript, args []string, named options) {
	s.wait(ts, args[0]+" is settled", func() error {
		p := s.send(ts, args[1], "confirm", options{"key": args[0], "customer": named["customer"]})
		<-p.done
		if p.err == nil && p.answer.Status != http.StatusOK {
			return fault.UnknownOutcome.New("status %d: %s", p.answer.Status, p.answer.Body)
		}
		return p.err
	})
	s.expectExecutions(ts, []string{args[0], "1"}, options{})
}

// findEndpoint returns the status of an endpoint as a host reports it.
func (s *scenario) findEndpoint(host *driver.Host, id string) (operators.EndpointStatus, error) {
	endpoints, err := s.cluster.Endpoints(host)
	if err != nil {
		return operators.EndpointStatus{}, err
	}
	at := slices.IndexFunc(endpoints, func(e operators.EndpointStatus) bool { return string(e.Endpoint) == id })
	if at < 0 {
		return operators.EndpointStatus{}, fault.NotFound.New("%s doesn't know %s", host.Name, id)
	}
	return endpoints[at], nil
}

// expectCounter ID,ID... NAME VALUE waits until the sum of a counter over the engines is VALUE, which is an exact number, >=N
// or <=N. It fails as soon as the sum exceeds an exact number or an upper bound.
func (s *scenario) expectCounter(ts *testscript.TestScript, args []string, _ options) {
	s.wait(ts, fmt.Sprintf("counter %s of %s %s", args[1], args[0], args[2]), func() error {
		total, err := s.counter(args[0], args[1])
		if err != nil {
			return err
		}
		return s.compareCount(ts, args[1], total, args[2])
	})
}

// counter returns the sum of a counter over the engines ids (ID,ID...).
func (s *scenario) counter(ids, name string) (int, error) {
	total := 0
	for id := range strings.SplitSeq(ids, ",") {
		counters := map[string]json.Number{}
		if err := driver.Get("http://"+s.cluster.EndpointAddress(id)+"/emulator/v1/counters", &counters); err != nil {
			return 0, err
		}
		value, err := strconv.Atoi(counters[name].String())
		if err != nil {
			return 0, fault.BadInput.Wrap(err, "%s has no counter %s", id, name)
		}
		total += value
	}
	return total, nil
}

// save NAME ID,ID... COUNTER stores the sum of a counter over the engines in the variable SAVED_NAME, for expect same and
// expect grown.
func (s *scenario) save(ts *testscript.TestScript, args []string) {
	value, err := s.counter(args[1], args[2])
	ts.Check(err)
	ts.Setenv("SAVED_"+args[0], fmt.Sprintf("%d %s %s", value, args[1], args[2]))
}

// expectRenewed HOST COUNT waits until a host's configuration lease has been renewed COUNT times, and fails if the host is not
// ready in the meantime.
func (s *scenario) expectRenewed(ts *testscript.TestScript, args []string, _ options) {
	wanted, renewed := parseNumber(ts, args[1]), 0
	var last time.Duration
	s.wait(ts, "renewals on "+args[0], func() error {
		status, err := s.cluster.Status(s.cluster.Host(args[0]))
		if err != nil {
			return err
		}
		if !status.Ready {
			s.fail(ts, "%s isn't ready after %d renewals", args[0], renewed)
		}
		if last > 0 && status.ValidFor > last {
			renewed++
		}
		last = status.ValidFor
		if renewed < wanted {
			return fault.StaleConfiguration.New("%s has been renewed %d times", args[0], renewed)
		}
		return nil
	})
}

// expectUnchanged NAME fails if a counter differs from the value stored by save.
func (s *scenario) expectUnchanged(ts *testscript.TestScript, args []string, _ options) {
	saved := strings.Fields(ts.Getenv("SAVED_" + args[0]))
	now, err := s.counter(saved[1], saved[2])
	ts.Check(err)
	if now != parseNumber(ts, saved[0]) {
		s.fail(ts, "%s was %s and is %d", saved[2], saved[0], now)
	}
}

// expectGrown NAME MINIMUM fails unless a counter has grown by at least MINIMUM since save.
func (s *scenario) expectGrown(ts *testscript.TestScript, args []string, _ options) {
	saved := strings.Fields(ts.Getenv("SAVED_" + args[0]))
	now, err := s.counter(saved[1], saved[2])
	ts.Check(err)
	if grown := now - parseNumber(ts, saved[0]); grown < parseNumber(ts, args[1]) {
		s.fail(ts, "%s has grown by %d, expected %s", saved[2], grown, args[1])
	}
}

// compareCount compares a number with an exact number, >=N or <=N. It returns an error if the number may still reach the
// wanted one by growing, and fails the script if it is too large already.
func (s *scenario) compareCount(ts *testscript.TestScript, name string, found int, wanted string) error {
	if least, ok := strings.CutPrefix(wanted, ">="); ok {
		if found < parseNumber(ts, least) {
			return fault.Conflict.New("%s is %d", name, found)
		}
		return nil
	}
	most, ok := strings.CutPrefix(wanted, "<=")
	if limit := parseNumber(ts, most); found > limit {
		s.fail(ts, "%s is %d, expected %s", name, found, wanted)
	} else if !ok && found != limit {
		return fault.Conflict.New("%s is %d", name, found)
	}
	return nil
}

// expectRollout WEIGHTS MAX ID,ID... waits until all engines serve the weights. It fails as soon as more than MAX engines load
// weights at the same time. The engines are queried one after the other, so one round can count an engine that has finished
// loading together with one that has started since. Therefore engines counted as loading are queried a second time, and only
// those still loading count.
func (s *scenario) expectRollout(ts *testscript.TestScript, args []string, _ options) {
	most := parseNumber(ts, args[1])
	s.wait(ts, "weights "+args[0]+" everywhere", func() error {
		var loading []string
		done := true
		for id := range strings.SplitSeq(args[2], ",") {
			state, err := s.engineState(id)
			if err != nil {
				return err
			}
			if state.Loading {
				loading = append(loading, id)
			}
			done = done && !state.Loading && state.Weights == args[0]
		}
		if len(loading) > most && s.countLoading(loading) > most {
			s.fail(ts, "%v load weights at the same time, the limit is %d", loading, most)
		}
		if !done {
			return fault.Conflict.New("not all engines serve %s", args[0])
		}
		return nil
	})
}

// countLoading returns how many of the engines are loading weights.
func (s *scenario) countLoading(ids []string) int {
	count := 0
	for _, id := range ids {
		if state, err := s.engineState(id); err == nil && state.Loading {
			count++
		}
	}
	return count
}

type engineState struct {
	Incarnation unit.Incarnation `json:"incarnation"`
	Weights     string           `json:"weights-version"`
	Loading     bool             `json:"loading"`
}

func (s *scenario) engineState(id string) (engineState, error) {
	var state engineState
	return state, driver.Get("http://"+s.cluster.EndpointAddress(id)+"/engine/v1/state", &state)
}

// expectExplained REQUEST PATTERN waits until the record contains the final entry of a request, and then fails unless the
// output of explain matches the pattern.
func (s *scenario) expectExplained(ts *testscript.TestScript, args []string, _ options) {
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	s.wait(ts, "the explanation of "+args[0], func() error {
		explanation, _, err := s.cluster.Run("explain", args[0])
		if err != nil {
			return err
		}
		if strings.Contains(explanation, "doesn't say how the request ended") {
			return fault.NotFound.New("the final entry isn't archived yet")
		}
		if !pattern.MatchString(explanation) {
			s.fail(ts, "the explanation doesn't match %q:\n%s", args[1], explanation)
		}
		return nil
	})
}

// expectQuarantined HOST [PATH body=BODY] resends a request that crashes engines until the host refuses it as quarantined.
func (s *scenario) expectQuarantined(ts *testscript.TestScript, args []string, named options) {
	path := "/v1/completions"
	if len(args) > 1 {
		path = args[1]
	} else {
		named = options{"body": `{"model":"taalmodel","prompt":"VERGIF","max_tokens":9}`}
	}
	s.wait(ts, "a quarantine on "+args[0], func() error {
		p := s.send(ts, args[0], path, named)
		<-p.done
		if p.err == nil && p.answer.Code != "quarantined" {
			return fault.Conflict.New("status %d: %s", p.answer.Status, p.answer.Body)
		}
		return p.err
	})
}

// expectRecord SHEET waits until the exported record passes the verification against a sheet. The record reaches the archives
// in batches, so the first exports may be incomplete.
func (s *scenario) expectRecord(ts *testscript.TestScript, args []string, _ options) {
	path := ts.MkAbs("record.jsonl")
	s.wait(ts, "a record that passes the verification", func() error {
		if _, _, err := s.cluster.Run("record", "export", "--output", path); err != nil {
			return err
		}
		_, _, err := s.cluster.Run("record", "verify", "--sheet", args[0], path)
		return err
	})
}
