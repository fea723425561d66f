package hub

import (
	"fmt"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/parttrial"
)

// answerPartTrial decides whether an entry host may send a request with a blocked part. It fails with fault.NotLeader on a host that isn't
// the leader.
func (h *Hub) answerPartTrial(from unit.HostName, leader string, payload []byte) ([]byte, error) {
	var query parttrial.Query
	if err := codec.Unmarshal(payload, &query); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Timer.Now()
	if !h.updateTrials(now) {
		return nil, fault.NotLeader.New("this host doesn't grant trials").WithProperty(fault.Leader, leader)
	}
	granted := h.trials.Grant(now, query, h.crashCauses)
	if granted {
		h.Log.Info("part-trial-granted", "part", fmt.Sprintf("%016x", uint64(query.Part)), "to", string(from))
	}
	return codec.Marshal(granted)
}

// updateTrials replaces the schedule of trials if another host may have granted trials since this host used it. It reports whether this host
// is the leader. The lock must be held.
//
// A term has one leader at most, and a lease in an earlier term has ended when one in a later term begins. So no other host held the
// lease between two moments at which this host held it in the same term or in two terms that follow each other.
func (h *Hub) updateTrials(now unit.Moment) bool {
	term := h.leaderTerm(now)
	if term == 0 {
		return false
	}
	if h.trialsTerm == 0 || term != h.trialsTerm && term != h.trialsTerm+1 {
		h.trials = parttrial.New(now)
	}
	h.trialsTerm = term
	return true
}
