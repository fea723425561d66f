package ejection

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

func engines(count int) []*endpoint.Entry {
	entries := make([]*endpoint.Entry, count)
	for i := range entries {
		a := endpoint.Announcement{
			Endpoint: unit.EndpointID(fmt.Sprintf("e%02d", i)), Kind: endpoint.KindEngine, Model: "stave-llm",
		}
		entries[i] = &endpoint.Entry{Announcement: a}
	}
	return entries
}

func contains(entries []*endpoint.Entry, id unit.EndpointID) bool {
	for _, e := range entries {
		if e.Endpoint == id {
			return true
		}
	}
	return false
}

// Guards against an outage of a shared dependency that ejects every endpoint: whatever is reported, two thirds stay.
func TestAtMostAThirdIsEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := New(Defaults())
		entries := engines(rapid.IntRange(1, 12).Draw(t, "endpoints"))
		now := unit.Moment(0)
		for range rapid.IntRange(1, 150).Draw(t, "reports") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "endpoint")]
			failed := rapid.IntRange(0, 9).Draw(t, "failed") < 9
			g.Report(now, e.Endpoint, failed, time.Second)
			allowed := g.Allowed(now, entries)
			assert.Assert(t, len(allowed) >= len(entries)-len(entries)/3)
			assert.Assert(t, len(allowed) > 0)
		}
	})
}

// Guards against an engine that refuses every request and attracts all requests because it is idle, and against
// ejections that never end or never get longer.
func TestConsecutiveFailuresEjectForLonger(t *testing.T) {
	g, entries, now := New(Defaults()), engines(6), unit.Moment(0)
	for range 5 {
		assert.Assert(t, contains(g.Allowed(now, entries), "e01"))
		g.Report(now, "e01", true, 0)
	}
	lengths := []time.Duration{3 * time.Second, 6 * time.Second, 12 * time.Second}
	for _, length := range lengths {
		assert.Assert(t, !contains(g.Allowed(now, entries), "e01"))
		assert.Assert(t, !contains(g.Allowed(now.Add(length-1), entries), "e01"))
		now = now.Add(length)
		assert.Assert(t, contains(g.Allowed(now, entries), "e01"))
		g.Report(now, "e01", true, 0) // one failure after an ejection is enough
	}
}

// Guards against missing an engine that is slow but alive, or that fails now and then but never often in a row, and
// against ejecting endpoints for a slowness or failures that all share.
func TestOutliersAreComparedWithTheOthers(t *testing.T) {
	cases := []struct {
		name    string
		failed  func(endpoint, round int) bool
		took    func(endpoint int) time.Duration
		ejected bool
	}{
		{
			"slow",
			func(int, int) bool { return false },
			func(endpoint int) time.Duration {
				if endpoint == 1 {
					return 900 * time.Millisecond
				}
				return 200 * time.Millisecond
			}, true,
		},
		{
			"all slow",
			func(int, int) bool { return false },
			func(int) time.Duration { return 5 * time.Second }, false,
		},
		{
			"every second request fails",
			func(endpoint, round int) bool { return endpoint == 1 && round%2 == 0 },
			func(int) time.Duration { return time.Second }, true,
		},
		{
			"every second request fails everywhere",
			func(_, round int) bool { return round%2 == 0 },
			func(int) time.Duration { return time.Second }, false,
		},
	}
	for _, c := range cases {
		g, entries, now := New(Defaults()), engines(6), unit.Moment(0)
		for round := range 40 {
			now = now.Add(50 * time.Millisecond)
			for i, e := range entries {
				g.Report(now, e.Endpoint, c.failed(i, round), c.took(i))
			}
			g.Allowed(now, entries)
		}
		var want []unit.EndpointID
		if c.ejected {
			want = []unit.EndpointID{"e01"}
		}
		assert.DeepEqual(t, g.Ejected(now), want)
	}
}
