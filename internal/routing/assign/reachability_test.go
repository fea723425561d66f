package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// setBusy sets this host's load at an endpoint so high that answers come late.
func setBusy(a *Assigner, id unit.EndpointID) {
	a.replicas[id].own = Load{Requests: 40, Tokens: 150_000, PendingPrefill: 100_000}
}

// Guards against sending requests to an endpoint without reports, where they are lost, because every other endpoint answers late.
func TestAnUnreachableEndpointWithoutReportsGetsNothing(t *testing.T) {
	a := newAssignerWith(endpoint("dark", 1, at(0)), endpoint("slow", 1, at(0)))
	w := newPromptWork("s", "o")
	a.End(at(100), a.Begin(at(100), w, Choice{Endpoint: "dark"}), EndedUnreachable)
	setEndpoints(a, endpoint("dark", 1, at(0)), endpoint("slow", 1, at(8_000)))
	a.SetLoads(at(8_000), nil)
	setBusy(a, "slow")
	choice, ok := a.Choose(at(8_000), w, nil)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Endpoint, unit.EndpointID("slow"))

	t.Log("a host that gets no reports at all tries again")
	choice, _ = a.Choose(at(20_000), w, nil)
	assert.Equal(t, choice.Endpoint, unit.EndpointID("dark"))
}

// Guards against a burst of requests that each find that the same endpoint is still unreachable.
func TestAnEndpointThatFailedGetsOneRequestAtATime(t *testing.T) {
	a := newAssignerWith(endpoint("flaps", 1, at(0)), endpoint("slow", 1, at(0)))
	w := newPromptWork("s", "o")
	a.End(at(100), a.Begin(at(100), w, Choice{Endpoint: "flaps"}), EndedUnreachable)
	setBusy(a, "slow")
	first, _ := a.Choose(at(1_000), w, nil)
	assert.Equal(t, first.Endpoint, unit.EndpointID("flaps"))
	flight := a.Begin(at(1_000), w, first)
	second, _ := a.Choose(at(1_050), w, nil)
	assert.Equal(t, second.Endpoint, unit.EndpointID("slow"))
	a.Began(at(1_060), flight)
	a.End(at(1_100), flight, EndedComplete)
	third, _ := a.Choose(at(1_150), w, nil)
	assert.Equal(t, third.Endpoint, unit.EndpointID("flaps"))
}

// Guards against losing requests of each of many hosts at an endpoint that other hosts have found unreachable. Guards also
// against a few hosts that can't reach an endpoint keeping all others from using it.
func TestOtherHostsTellWhatTheyCannotReach(t *testing.T) {
	cases := []struct {
		name   string
		others Load
		heard  bool
		want   unit.EndpointID
	}{
		{name: "no host reports anything", want: "e"},
		{name: "one host cannot reach it", others: Load{UnreachableBy: 1}, want: "e"},
		{name: "two hosts cannot reach it", others: Load{UnreachableBy: 2}, want: "slow"},
		{name: "more hosts hear it", others: Load{UnreachableBy: 2, ReachableBy: 3}, want: "e"},
		{name: "this host hears it", others: Load{UnreachableBy: 2}, heard: true, want: "e"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAssignerWith(endpoint("e", 1, at(1_000)), endpoint("slow", 1, at(1_000)))
			a.SetHosts(7)
			a.SetLoads(at(1_000), map[unit.EndpointID]Load{"e": c.others})
			w := newPromptWork("s", "o")
			if c.heard {
				a.End(at(1_000), a.Begin(at(900), w, Choice{Endpoint: "e"}), EndedComplete)
			}
			setBusy(a, "slow")
			choice, _ := a.Choose(at(1_050), w, nil)
			assert.Equal(t, choice.Endpoint, c.want)
		})
	}
}

// Guards against a host that doesn't report an endpoint as unreachable, or that still reports it long afterwards.
func TestAHostTellsWhatItHears(t *testing.T) {
	a := newAssignerWith(endpoint("e", 1, at(0)))
	w := newPromptWork("s", "o")
	assert.Equal(t, len(a.OwnLoads(at(1_000))), 0)
	a.End(at(1_000), a.Begin(at(900), w, Choice{Endpoint: "e"}), EndedComplete)
	assert.Equal(t, a.OwnLoads(at(1_100))["e"], Load{ReachableBy: 1})
	a.CheckFailed(at(1_200), "e")
	assert.Equal(t, a.OwnLoads(at(1_300))["e"], Load{UnreachableBy: 1})
	assert.Equal(t, len(a.OwnLoads(at(1_200).Add(unreachableReportTime))), 0)
}

// Guards against a request that waits until its deadline at an endpoint that accepts no connections, and against giving up a
// request because of a single lost packet.
func TestAQuietEndpointIsChecked(t *testing.T) {
	a := newAssignerWith(endpoint("e", 1, at(0)))
	flight := a.Begin(at(1_000), newPromptWork("s", "o"), Choice{Endpoint: "e", Expected: 100 * time.Millisecond})
	assert.Equal(t, len(a.Checks(at(1_200))), 0)
	assert.DeepEqual(t, a.Checks(at(1_300)), []Check{{"e", "llm", "e:80"}})
	assert.Equal(t, len(a.Checks(at(1_350))), 0, "at most once per checkInterval")
	a.CheckFailed(at(1_400), "e")
	assert.Assert(t, !a.ProbablyFailed(at(1_450), flight))
	a.CheckFailed(at(1_500), "e")
	assert.Assert(t, a.ProbablyFailed(at(1_550), flight))
	a.RecordActivity(at(1_600), flight)
	assert.Assert(t, !a.ProbablyFailed(at(1_650), flight))
}

// Simulates that a quarter of the endpoints fall silent for good under high load. Once their reports are missing, no request may
// be lost there, however late the other endpoints answer.
func TestNothingIsSentToSilentEndpointsUnderHighLoad(t *testing.T) {
	const engines, hosts, silentFrom = 20, 17, 2_000
	name := func(i int) string { return fmt.Sprintf("e%02d", i) }
	silent := map[unit.EndpointID]bool{}
	for i := 0; i < engines; i += 4 {
		silent[unit.EndpointID(name(i))] = true
	}
	assigners := make([]*Assigner, hosts)
	for i := range assigners {
		assigners[i] = New(testSettings)
		assigners[i].SetHosts(hosts)
	}
	lost := 0
	for ms := 0; ms < 20_000; ms += 10 {
		for i, a := range assigners {
			if ms%100 == 0 {
				var known []registry.Endpoint
				for e := range engines {
					heard := at(ms)
					if silent[unit.EndpointID(name(e))] {
						heard = min(heard, at(silentFrom))
					}
					known = append(known, endpoint(name(e), 1, heard))
				}
				setEndpoints(a, known...)
				a.SetLoads(at(ms), nil)
				for e := range engines {
					if id := unit.EndpointID(name(e)); !silent[id] {
						setBusy(a, id)
					}
				}
			}
			if (ms/10+i)%20 != 0 {
				continue
			}
			w := newPromptWork(fmt.Sprint(ms%37), fmt.Sprint(ms, i))
			choice, ok := a.Choose(at(ms), w, nil)
			assert.Assert(t, ok)
			flight := a.Begin(at(ms), w, choice)
			if !silent[choice.Endpoint] || ms < silentFrom {
				a.End(at(ms), flight, EndedComplete)
				continue
			}
			a.End(at(ms), flight, EndedUnreachable)
			if at(ms).Sub(at(silentFrom)) > testSettings.ReportSilence+500*time.Millisecond {
				lost++
			}
		}
	}
	assert.Equal(t, lost, 0)
}

// Guards against giving up an attempt at a busy engine and repeating it elsewhere, which makes all engines busier.
func TestAnEngineThatOthersHearIsNotSilent(t *testing.T) {
	cases := []struct {
		name   string
		others Load
		at     int
		silent bool
	}{
		{name: "no other host hears it, within the limit", at: 600},
		{name: "no other host hears it", at: 800, silent: true},
		{name: "others hear it", others: Load{ReachableBy: 1}, at: 2_000},
		{name: "others hear it, but this request gets nothing for very long", others: Load{ReachableBy: 1}, at: 2_200, silent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := newAssignerWith(endpoint("e", 1, at(0)))
			flight := a.Begin(at(0), newPromptWork("s", "o"), Choice{Endpoint: "e", Expected: 100 * time.Millisecond})
			a.SetLoads(at(0), map[unit.EndpointID]Load{"e": c.others})
			assert.Equal(t, a.ProbablyFailed(at(c.at), flight), c.silent)
		})
	}
}
