package assign

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
)

// Guards against a host that doesn't notice that it reaches no endpoint of a service, or that takes itself for cut off while it hears
// from one.
func TestCutOff(t *testing.T) {
	unreachable := func(a *Assigner, ms int, names ...int) {
		for _, n := range names {
			a.CheckFailed(at(ms), unit.EndpointID(fmt.Sprint("e", n)))
		}
	}
	cases := []struct {
		name      string
		endpoints int
		events    func(a *Assigner)
		want      bool
		reach     Reach
		inDoubt   bool
	}{
		{name: "nothing has happened", endpoints: 3, events: func(*Assigner) {}},
		{name: "some endpoints can't be reached", endpoints: 3, events: func(a *Assigner) { unreachable(a, 100, 0, 1) }, inDoubt: true},
		{name: "no endpoint can be reached", endpoints: 3, events: func(a *Assigner) { unreachable(a, 100, 0, 1, 2) }, want: true, reach: ReachesNone, inDoubt: true},
		{name: "several of many can't be reached", endpoints: 40, events: func(a *Assigner) { unreachable(a, 100, 0, 7, 9, 20, 33, 39) }, want: true, reach: ReachesNone, inDoubt: true},
		{name: "the same endpoint fails again and again", endpoints: 40, events: func(a *Assigner) { unreachable(a, 100, 0, 0, 0, 0, 0, 0) }, inDoubt: true},
		{name: "an endpoint accepts a connection", endpoints: 3, events: func(a *Assigner) {
			unreachable(a, 100, 0, 1, 2)
			a.Reached(at(200), "e1")
		}},
		{name: "an endpoint sends an event of an answer that began before", endpoints: 3, events: func(a *Assigner) {
			f := a.Begin(at(0), newPromptWork("s", "o"), Choice{Endpoint: "e0"})
			a.Began(at(50), f)
			unreachable(a, 100, 0, 1, 2)
			a.RecordActivity(at(200), f)
		}},
		{name: "endpoints don't answer, but accept connections", endpoints: 3, events: func(a *Assigner) {
			for _, id := range []unit.EndpointID{"e0", "e1", "e2"} {
				a.End(at(900), a.Begin(at(100), newPromptWork("s", "o"), Choice{Endpoint: id}), EndedSilent)
			}
		}},
		{name: "requests can't be sent", endpoints: 3, events: func(a *Assigner) {
			for _, id := range []unit.EndpointID{"e0", "e1", "e2"} {
				a.End(at(300), a.Begin(at(100), newPromptWork("s", "o"), Choice{Endpoint: id}), EndedUnreachable)
			}
		}, want: true, reach: ReachesNone, inDoubt: true},
		{name: "an endpoint fails again after one was heard", endpoints: 3, events: func(a *Assigner) {
			unreachable(a, 100, 0, 1, 2)
			a.Reached(at(200), "e1")
			unreachable(a, 300, 0)
		}, inDoubt: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var endpoints []registry.Endpoint
			for i := range c.endpoints {
				endpoints = append(endpoints, endpoint(fmt.Sprint("e", i), 1, at(0)))
			}
			a := newAssignerWith(endpoints...)
			heardByOthers := map[unit.EndpointID]Load{}
			for _, e := range endpoints {
				heardByOthers[e.ID] = Load{ReachableBy: 1}
			}
			a.SetLoads(at(0), heardByOthers)
			c.events(a)
			assert.Equal(t, a.CutOff(endpoints[0].Service), c.want)
			reach, inDoubt := a.Reach(at(5_000)) // later than doubtTime after all events
			assert.Equal(t, reach, c.reach)
			assert.Equal(t, inDoubt, c.inDoubt)
			for id, load := range a.OwnLoads(at(350)) {
				assert.Assert(t, !c.want || load.UnreachableBy == 0, "%s is blamed", id)
			}
		})
	}
}

// Guards against a host that learns that it is cut off, or that it isn't any more, only from the requests of callers, and against checks
// of all endpoints of a large service at once.
func TestAServiceInDoubtIsProbed(t *testing.T) {
	var endpoints []registry.Endpoint
	for i := range 40 {
		endpoints = append(endpoints, endpoint(fmt.Sprint("e", i), 1, at(0)))
	}
	a := newAssignerWith(endpoints...)
	assert.Equal(t, len(a.Checks(at(1_000))), 0)
	a.CheckFailed(at(1_000), "e3")
	first := a.Checks(at(1_300))
	assert.Equal(t, len(first), minUnconnected)
	assert.Equal(t, len(a.Checks(at(1_350))), 0)
	for _, c := range first {
		a.CheckFailed(at(1_800), c.Endpoint)
	}
	assert.Assert(t, a.CutOff(endpoints[0].Service))
	second := a.Checks(at(2_400))
	assert.Equal(t, len(second), minUnconnected)
	for _, c := range second {
		assert.Assert(t, c.Endpoint != first[0].Endpoint)
	}
	a.Reached(at(2_500), second[0].Endpoint)
	assert.Assert(t, !a.CutOff(endpoints[0].Service))
	assert.Equal(t, len(a.Checks(at(4_000))), 0)
}

// Guards against a host that isn't told to which hosts it may hand requests, because answers on open connections alternate with connections
// that can't be made.
func TestAServiceStaysInDoubtWhileNewConnectionsFail(t *testing.T) {
	a := newAssignerWith(endpoint("e0", 1, at(0)), endpoint("e1", 1, at(0)), endpoint("e2", 1, at(0)))
	inDoubt := func(ms int) bool {
		_, doubt := a.Reach(at(ms))
		return doubt
	}
	a.CheckFailed(at(100), "e1")
	a.Reached(at(110), "e0")
	assert.Assert(t, !inDoubt(120), "a single endpoint may be down")
	for ms := 200; ms < 4_000; ms += 300 {
		a.CheckFailed(at(ms), "e1")
		a.CheckFailed(at(ms), "e2")
		assert.Assert(t, inDoubt(ms+5))
		a.Reached(at(ms+10), "e0")
		assert.Assert(t, inDoubt(ms+299))
	}
	assert.Assert(t, !inDoubt(6_000))
}
