package hub

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/routing/crashcause"
	"github.com/citronglade/citronglade/internal/routing/parttrial"
)

// Guards against trials of one part that two control hosts grant, beside each other or one right after the other.
func TestOnlyTheLeaderGrantsTrials(t *testing.T) {
	h, clock, term := newTestHub(t), timer.NewManual(), uint64(0)
	h.Timer, h.leaderTerm = clock, func(unit.Moment) uint64 { return term }
	clock.Advance(time.Minute)
	recordDoubtfulCrashes(h)
	_, err := askForTrial(t, h)
	assert.Assert(t, errorx.IsOfType(err, fault.NotLeader))
	leader, _ := fault.LeaderOf(err)
	assert.Equal(t, leader, "10.0.0.9")
	term = 1
	for _, moment := range []struct {
		after time.Duration
		want  bool
	}{{after: 0}, {after: 2 * time.Second, want: true}, {after: time.Second}} {
		clock.Advance(moment.after)
		granted, err := askForTrial(t, h)
		assert.NilError(t, err)
		assert.Equal(t, granted, moment.want)
	}
}

// Guards against a control host that grants no trial for 2 s because it wasn't the leader for a moment in which no other host led, and
// against one that grants the trial of a part of which another leader may have granted one.
func TestALeaderKeepsItsTrialsUnlessAnotherMayHaveLed(t *testing.T) {
	for _, test := range []struct {
		name         string
		first, again uint64 // terms
		running      bool   // a trial of the part runs when the lead is lost
		want         bool
	}{
		{name: "the same term", first: 3, again: 3, want: true},
		{name: "the next term", first: 3, again: 4, want: true},
		{name: "another host may have led the term between", first: 3, again: 5},
		{name: "the first term that this host leads", again: 1},
		{name: "the same term, with a trial that still runs", first: 3, again: 3, running: true},
		{name: "the next term, with a trial that still runs", first: 3, again: 4, running: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, clock, term := newTestHub(t), timer.NewManual(), test.first
			h.Timer, h.leaderTerm = clock, func(unit.Moment) uint64 { return term }
			clock.Advance(time.Minute)
			recordDoubtfulCrashes(h)
			h.sendState(t.Context())
			clock.Advance(3 * time.Second)
			h.sendState(t.Context())
			if test.running {
				granted, err := askForTrial(t, h)
				assert.NilError(t, err)
				assert.Assert(t, granted)
			}
			term = 0
			h.sendState(t.Context())
			_, err := askForTrial(t, h)
			assert.Assert(t, errorx.IsOfType(err, fault.NotLeader))
			clock.Advance(200 * time.Millisecond)
			term = test.again
			h.sendState(t.Context())
			granted, err := askForTrial(t, h)
			assert.NilError(t, err)
			assert.Equal(t, granted, test.want)
			if !granted {
				clock.Advance(2 * time.Second)
				granted, err = askForTrial(t, h)
				assert.NilError(t, err)
				assert.Assert(t, granted)
			}
		})
	}
}

// Guards against a leader that grants trials by a schedule of an earlier term because it hasn't sent its state since.
func TestATrialIsDecidedInTheTermOfTheQuery(t *testing.T) {
	h, clock, term := newTestHub(t), timer.NewManual(), uint64(3)
	h.Timer, h.leaderTerm = clock, func(unit.Moment) uint64 { return term }
	clock.Advance(time.Minute)
	recordDoubtfulCrashes(h)
	h.sendState(t.Context())
	clock.Advance(3 * time.Second)
	term = 5
	granted, err := askForTrial(t, h)
	assert.NilError(t, err)
	assert.Assert(t, !granted)
}

const subject, deadly, other = 1, 2, 3

// recordDoubtfulCrashes records crashes in the first 8 s by which subject is blocked and in doubt.
func recordDoubtfulCrashes(h *Hub) {
	for i, ids := range [][]crashcause.PartID{{subject, deadly}, {subject, other}, {subject, deadly}, {deadly}, {other}, {other}, {deadly}, {deadly}} {
		var parts []crashcause.Part
		for position, id := range ids {
			parts = append(parts, crashcause.Part{ID: id, Position: uint8(position)})
		}
		h.crashCauses.RecordCrash(unit.Moment(time.Duration(i)*time.Second), registry.Lifetime{Endpoint: "e", Born: int64(i)}, parts)
	}
}

func askForTrial(t *testing.T, h *Hub) (granted bool, err error) {
	t.Helper()
	query, err := codec.Marshal(parttrial.Query{Part: subject})
	assert.NilError(t, err)
	answer, err := h.answerPartTrial("10.0.1.1", "10.0.0.9", query)
	if err == nil {
		err = codec.Unmarshal(answer, &granted)
	}
	return granted, err
}
