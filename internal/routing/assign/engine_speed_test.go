package assign

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Guards against an engine that is taken for a slow one because it reads prompts beside its streams, and against a slow one that isn't found.
func TestThePaceOfEventsShowsSpeedAndNotLoad(t *testing.T) {
	const events = 60
	engines := []struct {
		id    unit.EndpointID
		gap   time.Duration
		reads int // every so many gaps, the engine reads a prompt
	}{{"idle", 30 * time.Millisecond, events}, {"busy", 30 * time.Millisecond, 2}, {"slow", 72 * time.Millisecond, events}}
	var known []registry.Endpoint
	for _, e := range engines {
		known = append(known, endpoint(string(e.id), 1, at(0)))
	}
	a := newAssignerWith(known...)
	const rounds, learning = 60, 30 // the rounds of the first half teach the usual pace
	means := map[unit.EndpointID]float64{}
	for round := range rounds {
		for i := range engines {
			e := engines[(i+round)%len(engines)]
			w := newPromptWork("s", fmt.Sprint(round, e.id))
			w.Gathering = table.GatherStream
			now := at(round * 10_000)
			flight := a.Begin(now, w, Choice{Endpoint: e.id})
			a.Began(now, flight)
			for i := range events {
				now = now.Add(e.gap)
				if i%e.reads == 0 {
					now = now.Add(60 * time.Millisecond)
				}
				a.RecordActivity(now, flight)
			}
			a.End(now, flight, EndedComplete)
		}
		for id, average := range a.TakeSpeedSamples() {
			if mean, _ := average.Entry(1).Values(); round >= learning {
				means[id] += mean / (rounds - learning)
			}
		}
	}
	assert.Assert(t, math.Abs(means["busy"]-means["idle"]) < 0.1, "%v", means)
	assert.Assert(t, math.Abs(means["slow"]-means["idle"]-math.Log(72.0/30)) < 0.1, "%v", means)
}

// Guards against an estimated wait that grows with the age of the loads although the engines read more than arrives. 68 hosts send 60 engines two thirds of
// what they can read.
func TestPromptsSentAfterTheReportAreReadToo(t *testing.T) {
	const engines, hosts, perSecond, seconds = 60, 68, 2, 10
	a := New(testSettings)
	a.SetHosts(hosts)
	var known []registry.Endpoint
	for e := range engines {
		known = append(known, endpoint(fmt.Sprintf("e%02d", e), 1, at(0)))
	}
	setEndpoints(a, known...)
	longest := time.Duration(0)
	for i := range perSecond * seconds {
		now := at(i * 1000 / perSecond)
		a.SetLoads(now.Add(-50*time.Millisecond), map[unit.EndpointID]Load{})
		w := newPromptWork(fmt.Sprint("s", i), fmt.Sprint("o", i))
		w.Gathering = table.GatherApart
		choice, ok := a.Choose(now, w, nil)
		assert.Assert(t, ok)
		longest = max(longest, choice.QueueTime)
		flight := a.Begin(now, w, choice)
		now = now.Add(choice.Expected)
		a.Began(now, flight)
		a.End(now, flight, EndedComplete)
	}
	assert.Assert(t, longest < 20*time.Millisecond, "estimated wait %s", longest)
}
