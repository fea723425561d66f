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
	h, clock, leads := newTestHub(t), timer.NewManual(), false
	h.Timer, h.leads = clock, func(unit.Moment) bool { return leads }
	clock.Advance(time.Minute)
	const subject, deadly, other = 1, 2, 3
	for i, ids := range [][]crashcause.PartID{{subject, deadly}, {subject, other}, {subject, deadly}, {deadly}, {other}, {other}, {deadly}, {deadly}} {
		var parts []crashcause.Part
		for position, id := range ids {
			parts = append(parts, crashcause.Part{ID: id, Position: uint8(position)})
		}
		h.crashCauses.RecordCrash(unit.Moment(time.Duration(i)*time.Second), registry.Lifetime{Endpoint: "e", Born: int64(i)}, parts)
	}
	query, err := codec.Marshal(parttrial.Query{Part: subject})
	assert.NilError(t, err)
	ask := func() (granted bool, err error) {
		h.restartTrials(clock.Now(), leads)
		answer, err := h.answerPartTrial("10.0.1.1", "10.0.0.9", query)
		if err == nil {
			err = codec.Unmarshal(answer, &granted)
		}
		return granted, err
	}
	_, err = ask()
	assert.Assert(t, errorx.IsOfType(err, fault.NotLeader))
	leader, _ := fault.LeaderOf(err)
	assert.Equal(t, leader, "10.0.0.9")
	leads = true
	for _, moment := range []struct {
		after time.Duration
		want  bool
	}{{after: 0}, {after: 2 * time.Second, want: true}, {after: time.Second}} {
		clock.Advance(moment.after)
		granted, err := ask()
		assert.NilError(t, err)
		assert.Equal(t, granted, moment.want)
	}
}
