package forward

import (
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/joomcode/errorx"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// setClass puts the request into a class of urgency, if its service has several and the less urgent ones can wait for the most urgent one. Otherwise a
// less urgent class would be refused or late although its callers don't wait much longer.
func (r *request) setClass(w *assign.Request) {
	if w.Gathering == table.GatherNone || !r.table.HasPatientClasses(r.service.Name) {
		return
	}
	w.Class, w.Classes = assign.ClassOf(r.priority(), r.table.StreamPriorities(r.service.Name))
	if w.Classes > 1 {
		w.Objectives = r.table.StreamObjectives(r.service.Name)[:w.Classes]
	}
}

// goesBeforeNew reports whether the request has returned after a refusal and the next more urgent priority is free, so that endpoints can be
// told to serve it before new requests without putting it among those of another route.
func (r *request) goesBeforeNew() bool {
	if !r.work.PreviouslyRefused || r.work.Classes < 2 || r.takesUp || r.priority() <= 0 {
		return false
	}
	_, taken := slices.BinarySearch(r.table.StreamPriorities(r.service.Name), r.priority()-1)
	return !taken
}

// noRoom returns the error of a request that isn't sent because it would wait too long.
func (r *request) noRoom(choice *assign.Choice) *errorx.Error {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citronglade_overload_refusals_total{service=%q,priority="%d"}`, string(r.service.Name), r.priority())).Inc()
	if d := choice.Room; d != nil {
		return fault.Overloaded.New("no room for class %d: it would wait %s, of at most %s", r.work.Class, d.Wait, d.Limit)
	}
	return fault.Overloaded.New("the answer would begin after %s of queueing, but the objective is %s", choice.QueueTime, r.work.Objective)
}

// roomAttributes returns the log fields of the decision by package room, none if it wasn't asked.
func (r *request) roomAttributes() []any {
	if r.lastChoice == nil || r.lastChoice.Room == nil {
		return nil
	}
	d := r.lastChoice.Room
	return []any{
		"class", int(r.work.Class), "room-wait-ms", d.Wait.Milliseconds(), "room-limit-ms", d.Limit.Milliseconds(),
		"room-kept-share", d.Kept.Share, "room-kept-tokens", int64(d.Kept.Memory),
	}
}
