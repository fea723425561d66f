package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/endpoints/requestlimit"
	"github.com/citronglade/citronglade/internal/routing/permit"
)

// Guards against more requests to an endpoint that names a limit than the host has permits for, whatever arrives in between: answers
// with other limits and without, limits learned from other hosts, permits that end, reports, a new lifetime. Guards also against an
// endpoint without a limit that gets nothing.
func TestAnEndpointWithALimitGetsNoMoreThanThePermits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, born, known := at(1), int64(1), requestlimit.Limit{}
		a := New(testSettings)
		report := func() []registry.Endpoint {
			e := endpoint("e", 1, now)
			e.Born, e.Limit = born, known
			return []registry.Endpoint{e}
		}
		setEndpoints(a, report()...)
		limited, permits := false, []unit.Moment{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "pass")) * time.Millisecond)
			a.SetPermitsAge(now, 0)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				choice, ok := a.Choose(now, newPromptWork("s", "o"), nil)
				usable := permits[:0]
				for _, until := range permits {
					if until > now {
						usable = append(usable, until)
					}
				}
				permits = usable
				assert.Equal(t, ok, !limited || len(permits) > 0, "%d permits", len(permits))
				if !ok {
					assert.Equal(t, choice.Limited, 1)
					break
				}
				f := a.Begin(now, newPromptWork("s", "o"), choice)
				if limited {
					permits = permits[1:]
				}
				now = now.Add(time.Millisecond)
				perSecond := rapid.SampledFrom([]float64{0, 1, 5, 1e9, requestlimit.None}).Draw(t, "per second")
				before := a.replicas["e"].limit.Rate()
				a.NamedLimit(now, f, perSecond)
				after := a.replicas["e"].limit.Rate()
				limited = perSecond <= 5
				assert.Equal(t, after < requestlimit.None, limited)
				if after < before || !limited {
					permits = nil
				}
				a.End(now, f, EndedComplete)
			case 1:
				before := a.replicas["e"].limit.Rate()
				known = known.Merge(a.replicas["e"].limit).Changed(rapid.SampledFrom([]float64{0.5, 5, requestlimit.None}).Draw(t, "of others"))
				a.LearnLimits(now, report())
				limited = known.InForce()
				if known.Rate() < before || !limited {
					permits = nil
				}
			case 2:
				if limited {
					until := now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "lifetime")) * time.Millisecond)
					a.AddPermits("e", permit.Batch{Permits: 1, Until: until})
					permits = insertSorted(permits, until)
				}
			case 3:
				setEndpoints(a, report()...)
			case 4:
				born++
				known, limited, permits = requestlimit.Limit{}, false, nil
				setEndpoints(a, report()...)
			}
		}
	})
}

func insertSorted(moments []unit.Moment, m unit.Moment) []unit.Moment {
	i := 0
	for i < len(moments) && moments[i] <= m {
		i++
	}
	return append(moments[:i:i], append([]unit.Moment{m}, moments[i:]...)...)
}

// Guards against a limit that is taken for ended because of an answer to a request that was sent before the host knew the limit.
func TestOnlyAnAnswerToALaterRequestEndsALimit(t *testing.T) {
	a := newAssignerWith(endpoint("e", 1, 0))
	begin := func(now unit.Moment) *Attempt {
		choice, ok := a.Choose(now, newPromptWork("s", "o"), nil)
		assert.Assert(t, ok)
		return a.Begin(now, newPromptWork("s", "o"), choice)
	}
	first, second := begin(at(10)), begin(at(20))
	assert.Assert(t, a.NamedLimit(at(30), first, 1))
	assert.Assert(t, !a.NamedLimit(at(40), second, requestlimit.None), "sent before the limit was known")
	assert.Assert(t, a.replicas["e"].limit.InForce())
	a.AddPermits("e", permit.Batch{Permits: 1, Until: at(900)})
	assert.Assert(t, a.NamedLimit(at(60), begin(at(50)), requestlimit.None))
	assert.Assert(t, !a.replicas["e"].limit.InForce())
}

// Guards against hosts that all use their own shares of a limit in the same moment, or use more than their shares, while no leader issues
// permits. A control host that has just restarted knows of one host only.
func TestWithoutALeaderHostsTakeTurns(t *testing.T) {
	const hosts, perSecond, seconds = 75, 20, 60
	var fleet []*Assigner
	for range hosts {
		a := newAssignerWith(endpoint("e", 1, 0))
		a.SetHosts(hosts)
		a.SetPermitsAge(0, 0)
		a.SetHosts(1)
		a.SetPermitsAge(0, 0)
		a.LearnLimits(0, []registry.Endpoint{{Report: endpoint("e", 1, 0).Report, Limit: requestlimit.Limit{}.Changed(perSecond)}})
		fleet = append(fleet, a)
	}
	sent := 0
	for ms := 0; ms < seconds*1000; ms += 50 {
		for i, a := range fleet {
			w := newPromptWork("s", fmt.Sprint(i))
			w.Random = float64((i*7919+ms*104729)%10007) / 10007
			if choice, ok := a.Choose(at(ms), w, nil); ok {
				assert.Assert(t, at(ms) >= unit.Moment(permitOutage))
				a.End(at(ms), a.Begin(at(ms), w, choice), EndedComplete)
				sent++
			}
		}
	}
	most := 1.25 * ownShare * perSecond * seconds
	assert.Assert(t, sent > 0 && float64(sent) <= most, "%d requests, %.0f expected at most", sent, most)
}
