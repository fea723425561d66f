package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// busy puts so much in hand at an endpoint that its answers come late.
func busy(a *Assigner, id unit.EndpointID) {
	a.replicas[id].own = Load{Requests: 40, Tokens: 150_000, Unread: 100_000}
}

// Guards against requests that are lost at an endpoint without reports because every other endpoint answers late.
func TestAnUnreachableEndpointWithoutReportsGetsNothing(t *testing.T) {
	a := serving(endpoint("dark", 1, at(0)), endpoint("slow", 1, at(0)))
	w := prompt("s", "o")
	a.End(at(100), a.Begin(at(100), w, Choice{Endpoint: "dark"}), EndedUnreachable)
	set(a, endpoint("dark", 1, at(0)), endpoint("slow", 1, at(8_000)))
	a.SetLoads(at(8_000), nil)
	busy(a, "slow")
	choice, ok := a.Choose(at(8_000), w, nil)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Endpoint, unit.EndpointID("slow"))

	t.Log("a host that gets no reports at all tries again")
	choice, _ = a.Choose(at(20_000), w, nil)
	assert.Equal(t, choice.Endpoint, unit.EndpointID("dark"))
}

// Guards against a burst of requests that all find out that the same endpoint is still unreachable.
func TestAnEndpointThatFailedGetsOneRequestAtATime(t *testing.T) {
	a := serving(endpoint("flaps", 1, at(0)), endpoint("slow", 1, at(0)))
	w := prompt("s", "o")
	a.End(at(100), a.Begin(at(100), w, Choice{Endpoint: "flaps"}), EndedUnreachable)
	busy(a, "slow")
	first, _ := a.Choose(at(1_000), w, nil)
	assert.Equal(t, first.Endpoint, unit.EndpointID("flaps"))
	flight := a.Begin(at(1_000), w, first)
	second, _ := a.Choose(at(1_050), w, nil)
	assert.Equal(t, second.Endpoint, unit.EndpointID("slow"))
	a.Began(at(1_060), flight)
	a.End(at(1_100), flight, EndedWell)
	third, _ := a.Choose(at(1_150), w, nil)
	assert.Equal(t, third.Endpoint, unit.EndpointID("flaps"))
}

// Guards against each of many hosts losing requests at an endpoint that others know to be unreachable, and against a few hosts
// that are cut off from an endpoint keeping it from all others.
func TestOtherHostsTellWhatTheyCannotReach(t *testing.T) {
	cases := []struct {
		name   string
		others Load
		heard  bool
		want   unit.EndpointID
	}{
		{name: "nobody says anything", want: "e"},
		{name: "one host cannot reach it", others: Load{Unheard: 1}, want: "e"},
		{name: "two hosts cannot reach it", others: Load{Unheard: 2}, want: "slow"},
		{name: "more hosts hear it", others: Load{Unheard: 2, Heard: 3}, want: "e"},
		{name: "this host hears it", others: Load{Unheard: 2}, heard: true, want: "e"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := serving(endpoint("e", 1, at(1_000)), endpoint("slow", 1, at(1_000)))
			a.SetHosts(7)
			a.SetLoads(at(1_000), map[unit.EndpointID]Load{"e": c.others})
			w := prompt("s", "o")
			if c.heard {
				a.End(at(1_000), a.Begin(at(900), w, Choice{Endpoint: "e"}), EndedWell)
			}
			busy(a, "slow")
			choice, _ := a.Choose(at(1_050), w, nil)
			assert.Equal(t, choice.Endpoint, c.want)
		})
	}
}

// Guards against a host that keeps to itself what it can't reach, or goes on saying so when it is past.
func TestAHostTellsWhatItHears(t *testing.T) {
	a := serving(endpoint("e", 1, at(0)))
	w := prompt("s", "o")
	assert.Equal(t, len(a.Own(at(1_000))), 0)
	a.End(at(1_000), a.Begin(at(900), w, Choice{Endpoint: "e"}), EndedWell)
	assert.Equal(t, a.Own(at(1_100))["e"], Load{Heard: 1})
	a.CheckFailed(at(1_200), "e")
	assert.Equal(t, a.Own(at(1_300))["e"], Load{Unheard: 1})
	assert.Equal(t, len(a.Own(at(1_200).Add(unheardMemory))), 0)
}

// Guards against a request that waits for its whole time at an endpoint to which no connection can be made, and against one
// that is given up because a single packet was lost.
func TestAQuietEndpointIsChecked(t *testing.T) {
	a := serving(endpoint("e", 1, at(0)))
	flight := a.Begin(at(1_000), prompt("s", "o"), Choice{Endpoint: "e", Expected: 100 * time.Millisecond})
	assert.Equal(t, len(a.Checks(at(1_200))), 0)
	assert.DeepEqual(t, a.Checks(at(1_300)), []Check{{"e", "llm", "e:80"}})
	assert.Equal(t, len(a.Checks(at(1_350))), 0, "once in checkPause")
	a.CheckFailed(at(1_400), "e")
	assert.Assert(t, !a.Silent(at(1_450), flight))
	a.CheckFailed(at(1_500), "e")
	assert.Assert(t, a.Silent(at(1_550), flight))
	a.Heard(at(1_600), flight)
	assert.Assert(t, !a.Silent(at(1_650), flight))
}

// Replays a quarter of the endpoints that fall silent for good under high load: once their reports are missed, no request is
// lost there, however late the others answer.
func TestNothingIsSentToSilentEndpointsUnderHighLoad(t *testing.T) {
	const engines, hosts, darkFrom = 20, 17, 2_000
	name := func(i int) string { return fmt.Sprintf("e%02d", i) }
	dark := map[unit.EndpointID]bool{}
	for i := 0; i < engines; i += 4 {
		dark[unit.EndpointID(name(i))] = true
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
					if dark[unit.EndpointID(name(e))] {
						heard = min(heard, at(darkFrom))
					}
					known = append(known, endpoint(name(e), 1, heard))
				}
				set(a, known...)
				a.SetLoads(at(ms), nil)
				for e := range engines {
					if id := unit.EndpointID(name(e)); !dark[id] {
						busy(a, id)
					}
				}
			}
			if (ms/10+i)%20 != 0 {
				continue
			}
			w := prompt(fmt.Sprint(ms%37), fmt.Sprint(ms, i))
			choice, ok := a.Choose(at(ms), w, nil)
			assert.Assert(t, ok)
			flight := a.Begin(at(ms), w, choice)
			if !dark[choice.Endpoint] || ms < darkFrom {
				a.End(at(ms), flight, EndedWell)
				continue
			}
			a.End(at(ms), flight, EndedUnreachable)
			if at(ms).Sub(at(darkFrom)) > testSettings.ReportSilence+500*time.Millisecond {
				lost++
			}
		}
	}
	assert.Equal(t, lost, 0)
}

// Guards against attempts that are given up at a busy engine and made again elsewhere, which makes all engines busier.
func TestAnEngineThatOthersHearIsNotSilent(t *testing.T) {
	cases := []struct {
		name   string
		others Load
		at     int
		silent bool
	}{
		{name: "nobody hears it, soon", at: 600},
		{name: "nobody hears it", at: 800, silent: true},
		{name: "others hear it", others: Load{Heard: 1}, at: 2_000},
		{name: "others hear it, but this request gets nothing for very long", others: Load{Heard: 1}, at: 2_200, silent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := serving(endpoint("e", 1, at(0)))
			flight := a.Begin(at(0), prompt("s", "o"), Choice{Endpoint: "e", Expected: 100 * time.Millisecond})
			a.SetLoads(at(0), map[unit.EndpointID]Load{"e": c.others})
			assert.Equal(t, a.Silent(at(c.at), flight), c.silent)
		})
	}
}
