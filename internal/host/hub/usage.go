package hub

import (
	"github.com/citronglade/citronglade/internal/admission/usage"
	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// applyUsageLimits passes the customers' limits of a new table to the account, and brings the account up to date. The lock must be held, as for all
// functions below.
func (h *Hub) applyUsageLimits(now unit.Moment) {
	if h.usageVersion != h.tablePage.Version {
		h.usageVersion = h.tablePage.Version
		var t table.Table
		err := codec.Unmarshal(h.tablePage.Table, &t)
		if err == nil {
			err = t.Compile()
		}
		if err != nil {
			h.Log.Error("limits-not-applied", "table-version", uint64(h.usageVersion), "cause", err.Error())
			return
		}
		limits := t.Limits()
		h.limited = len(limits) > 0
		h.usage.SetLimits(now, limits)
		h.Log.Info("limits-applied", "table-version", uint64(h.usageVersion), "customers", len(limits))
	}
	if h.limited {
		h.usage.Step(now)
	}
	h.droppingUsage = h.usage.DropUnlimited(now)
}

// receiveUsage counts an entry host's report and returns the answer to it, nil for a host that sends none. It is nil also while this host has no
// table with limits, so that an entry host with a newer table doesn't take its customers for unused and goes on reporting what they use.
func (h *Hub) receiveUsage(now unit.Moment, from unit.HostName, report *usage.Report) *usage.Levels {
	if report == nil || !h.limited {
		return nil
	}
	h.usage.Receive(now, from, *report)
	levels := h.usage.Levels(now, from)
	return &levels
}

// usageUpdate returns what another control host hasn't read of the usage, nil if no customer has a limit and none waits to be dropped.
func (h *Hub) usageUpdate(now unit.Moment, reader unit.HostName, read uint64) *usage.Update {
	if !h.limited && !h.droppingUsage {
		return nil
	}
	update := h.usage.Since(now, reader, read)
	return &update
}
