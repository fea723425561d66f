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
	now := h.Timer.Now()
	if !h.leads(now) {
		return nil, fault.NotLeader.New("this host doesn't grant trials").WithProperty(fault.Leader, leader)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	granted := h.trials.Grant(now, query, h.crashCauses)
	if granted {
		h.Log.Info("part-trial-granted", "part", fmt.Sprintf("%016x", uint64(query.Part)), "to", string(from))
	}
	return codec.Marshal(granted)
}

// restartTrials replaces the schedule of trials while this host isn't the leader. The lock must be held.
func (h *Hub) restartTrials(now unit.Moment, leads bool) {
	if !leads {
		h.trials = parttrial.New(now)
	}
}
