package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronglade/citronglade/internal/base/unit"
)

func report(id string, born int64, sequence uint64) Report {
	return Report{ID: unit.EndpointID(id), Service: "llm", Address: "10.0.0.1:80", Born: born, Sequence: sequence}
}

func draining(r Report) Report {
	r.Draining = true
	return r
}

func at(r Report, address string) Report {
	r.Address = address
	return r
}

// Guards against an outdated report that arrives after a newer one and overwrites its content.
func TestReportsAreOrderedByLifetimeAndSequence(t *testing.T) {
	cases := []struct {
		name    string
		reports []Report
		leave   int64 // start of the lifetime that leaves after the reports, 0 for none
		after   []Report
		present []string
		drains  bool
	}{
		{name: "first report", reports: []Report{report("a", 1, 1)}, present: []string{"a"}},
		{name: "late ready after draining", reports: []Report{draining(report("a", 1, 3)), report("a", 1, 2)}, present: []string{"a"}, drains: true},
		{name: "draining overtaken by a later report", reports: []Report{report("a", 1, 3), draining(report("a", 1, 2))}, present: []string{"a"}, drains: true},
		{name: "new lifetime with small numbers", reports: []Report{draining(report("a", 1, 9)), report("a", 2, 1)}, present: []string{"a"}},
		{name: "report of an earlier lifetime", reports: []Report{report("a", 2, 1), draining(report("a", 1, 9))}, present: []string{"a"}},
		{name: "report after leaving", reports: []Report{report("a", 1, 1)}, leave: 1, after: []Report{report("a", 1, 2)}},
		{name: "new lifetime after leaving", reports: []Report{report("a", 1, 1)}, leave: 1, after: []Report{report("a", 2, 1)}, present: []string{"a"}},
		{name: "departure of an earlier lifetime", reports: []Report{report("a", 2, 1)}, leave: 1, present: []string{"a"}},
		{name: "address taken over", reports: []Report{report("a", 1, 1), report("b", 2, 1)}, present: []string{"b"}},
		{name: "address taken over, received in reverse", reports: []Report{report("b", 2, 1), report("a", 1, 7)}, present: []string{"b"}},
		{name: "two addresses", reports: []Report{report("a", 1, 1), at(report("b", 2, 1), "10.0.0.2:80")}, present: []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := New()
			for _, heard := range c.reports {
				r.ApplyReport(0, heard)
			}
			if c.leave != 0 {
				r.MarkLeft(0, "a", c.leave)
			}
			for _, heard := range c.after {
				r.ApplyReport(0, heard)
			}
			var present []string
			drains := false
			for _, e := range r.Present() {
				present = append(present, string(e.ID))
				drains = drains || e.Draining
			}
			assert.DeepEqual(t, present, c.present)
			assert.Equal(t, drains, c.drains)
		})
	}
}

// Guards against hosts that receive the same reports in different orders and end up with different endpoints.
func TestMergedRegistriesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := New(), New()
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id")
			born := rapid.Int64Range(1, 3).Draw(t, "born")
			heard := at(report(id, born, rapid.Uint64Range(1, 4).Draw(t, "sequence")), "10.0.0."+id+":80")
			heard.Draining = rapid.Bool().Draw(t, "draining")
			into := rapid.SampledFrom([]*Registry{first, second}).Draw(t, "host")
			if rapid.IntRange(0, 5).Draw(t, "leaves") == 0 {
				into.MarkLeft(0, heard.ID, born)
			} else {
				into.ApplyReport(0, heard)
			}
		}
		fromFirst, fromSecond := first.Since(0, 0), second.Since(0, 0)
		first.Merge(0, fromSecond, &Numbering{})
		second.Merge(0, fromFirst, &Numbering{})
		a, b := first.Present(), second.Present()
		assert.Equal(t, len(a), len(b))
		for i := range a {
			assert.Equal(t, a[i].ID, b[i].ID)
			assert.Equal(t, a[i].Born, b[i].Born)
			assert.Equal(t, a[i].Draining, b[i].Draining)
		}
	})
}

// Guards against a reader that misses a change, and against updates that contain the whole record for a mere heartbeat.
func TestUpdatesCarryWhatChanged(t *testing.T) {
	source, reader, numbering := New(), New(), &Numbering{}
	source.ApplyReport(0, report("a", 1, 1))
	first := source.Since(0, 0)
	reader.Merge(0, first, numbering)
	assert.Equal(t, len(first.Records), 1)
	later := unit.Moment(time.Second)
	source.ApplyReport(later, report("a", 1, 2))
	heartbeat := source.Since(later, first.Number)
	assert.Equal(t, len(heartbeat.Records), 0)
	assert.Equal(t, len(heartbeat.Heartbeats), 1)
	reader.Merge(later, heartbeat, numbering)
	heard, _ := reader.Endpoint("a")
	assert.Equal(t, heard.HeardAt, later)
	source.ApplyReport(later, draining(report("a", 1, 3)))
	change := source.Since(later, heartbeat.Number)
	assert.Equal(t, len(change.Records), 1)
	assert.Assert(t, change.Records[0].Draining)
}

// Guards against two hosts that send the same report back and forth for ever because its computed time grows by the network delay
// on each hop. With hundreds of endpoints such messages would be most of the traffic between hosts.
func TestTwoRegistriesSettle(t *testing.T) {
	const delay = time.Millisecond
	hosts := []*Registry{New(), New()}
	numberings := []*Numbering{{}, {}}
	read := []uint64{0, 0}
	sent := 0
	hosts[0].ApplyReport(0, report("a", 1, 1))
	for round := range 50 {
		now := unit.Moment(round) * unit.Moment(100*time.Millisecond)
		if round%12 == 11 {
			hosts[0].ApplyReport(now, report("a", 1, uint64(round)))
		}
		for from, to := range []int{1, 0} {
			update := hosts[from].Since(now, read[from])
			read[from] = update.Number
			sent += len(update.Heartbeats) + len(update.Records)
			hosts[to].Merge(now.Add(delay), update, numberings[to])
		}
	}
	// The first report is sent as a record in both directions, and each of the four others as one heartbeat in both directions.
	assert.Assert(t, sent <= 10, "%d messages about one endpoint that reported five times", sent)
	heard, _ := hosts[1].Endpoint("a")
	assert.Equal(t, heard.Sequence, uint64(47))
}

// Guards against a heartbeat of an earlier lifetime that is applied to the next one, and against an index that is resolved to a
// different endpoint.
func TestIndexesNameLifetimes(t *testing.T) {
	source, reader, numbering := New(), New(), &Numbering{}
	source.ApplyReport(0, report("a", 1, 1))
	first := source.Since(0, 0)
	reader.Merge(0, first, numbering)
	index := source.Index("a")
	source.ApplyReport(0, report("a", 2, 1))
	reader.Merge(0, source.Since(0, first.Number), numbering)
	assert.Assert(t, source.Index("a") != index)
	later := unit.Moment(time.Second)
	reader.Merge(later, Update{Number: 9, Heartbeats: []Heartbeat{{Index: index, Sequence: 7}}}, numbering)
	heard, _ := reader.Endpoint("a")
	assert.Equal(t, heard.HeardAt, unit.Moment(0))
	assert.Equal(t, heard.Sequence, uint64(1))
	numbering.Prune(reader)
	_, known := numbering.ID(index)
	assert.Assert(t, !known)
	assert.DeepEqual(t, numbering.IDs(source.Indexes([]unit.EndpointID{"a"})), []unit.EndpointID{"a"})
}
