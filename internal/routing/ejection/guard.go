package ejection

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// recordRetention is the time without reports after which an endpoint's record may be dropped.
const recordRetention = 30 * time.Minute

// maxRecords is the number of records from which unused ones are dropped. It is ten times the planned number of
// replicas.
const maxRecords = 6000

// Detector detects outliers among endpoints and ejects at most a third of each group.
type Detector struct {
	settings Settings
	records  map[unit.EndpointID]*record
	groups   map[groupKey]*group
	version  uint64 // incremented with each ejection
}

type groupKey struct {
	kind endpoint.Kind
	name string
}

// group caches the last result of Allowed for the endpoints of one model or service.
type group struct {
	nextReview unit.Moment
	firstEntry **endpoint.Entry // identifies the slice that the result was computed from
	length     int
	version    uint64
	validUntil unit.Moment // first end of an ejection among the entries, after which the result may change
	allowed    []*endpoint.Entry
}

// New returns a detector without reports.
func New(settings Settings) *Detector {
	return &Detector{settings: settings, records: map[unit.EndpointID]*record{}, groups: map[groupKey]*group{}}
}

// Report records the end of one attempt. The duration took must be comparable between the endpoints of a group:
// placement.Result.Pace for an engine, the total time for a service. It is ignored for failures. Refusals for lack of
// room aren't failures and must not be reported.
func (g *Detector) Report(now unit.Moment, id unit.EndpointID, failed bool, took time.Duration) {
	r, ok := g.records[id]
	if !ok {
		g.prune(now)
		r = &record{id: id, decayedAt: now}
		g.records[id] = r
	}
	r.decay(now, g.settings.HalfLife)
	r.add(failed, took)
	// An endpoint whose first request after an ejection fails is ejected again at once.
	limit := g.settings.ConsecutiveFailures
	if r.ejections > 0 && r.successes == 0 && now.Sub(r.ejectedUntil) < g.settings.ResetAfter {
		limit = 1
	}
	if r.consecutiveFailures >= limit && !r.ejected(now) {
		g.eject(now, r)
	}
}

// Allowed returns the entries that aren't ejected, in the same order. At most a third of the entries is left out, the
// earliest ejections first, so that a fault that affects all endpoints alike can't eject them all. All entries must be
// of one model or service, and the slice must not be modified later. If no entry is ejected, the slice itself is
// returned.
func (g *Detector) Allowed(now unit.Moment, entries []*endpoint.Entry) []*endpoint.Entry {
	if len(entries) == 0 || len(g.records) == 0 {
		return entries
	}
	key := groupKey{entries[0].Kind, entries[0].Name()}
	cached, ok := g.groups[key]
	if !ok {
		cached = &group{}
		g.groups[key] = cached
	}
	if now >= cached.nextReview {
		cached.nextReview = now.Add(g.settings.ReviewInterval)
		g.review(now, entries)
	}
	if cached.firstEntry != &entries[0] || cached.length != len(entries) || cached.version != g.version || now >= cached.validUntil {
		cached.firstEntry, cached.length, cached.version = &entries[0], len(entries), g.version
		cached.allowed, cached.validUntil = g.filter(now, entries)
	}
	return cached.allowed
}

// Ejected returns the ids of all endpoints that are ejected at the moment, sorted, including those that Allowed returns
// because of the limit of a third.
func (g *Detector) Ejected(now unit.Moment) []unit.EndpointID {
	var ids []unit.EndpointID
	for id, r := range g.records {
		if r.ejected(now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (g *Detector) eject(now unit.Moment, r *record) {
	r.eject(now, g.settings)
	g.version++
}

// review ejects the endpoints whose failure rate or mean duration is far above the median of the group.
func (g *Detector) review(now unit.Moment, entries []*endpoint.Entry) {
	var rates, times []float64
	var compared []*record
	for _, e := range entries {
		r, ok := g.records[e.Endpoint]
		if !ok || r.ejected(now) {
			continue
		}
		r.decay(now, g.settings.HalfLife)
		if r.reports < g.settings.MinimumReports {
			continue
		}
		compared = append(compared, r)
		rates = append(rates, r.failureRate())
		if r.successes >= g.settings.MinimumReports {
			times = append(times, r.meanDuration())
		}
	}
	// With two endpoints it can't be said which one is the outlier.
	if len(compared) < 3 {
		return
	}
	typicalRate, typicalTime := lowerMedian(rates), lowerMedian(times)
	for _, r := range compared {
		failing := r.failureRate() > typicalRate+g.settings.FailureExcess
		slow := len(times) >= 3 && r.successes >= g.settings.MinimumReports &&
			r.meanDuration() > max(g.settings.SlowFactor*typicalTime, float64(g.settings.MinSlowDuration))
		if failing || slow {
			g.eject(now, r)
		}
	}
}

// filter removes the ejected entries, and returns the moment from which the result may change.
func (g *Detector) filter(now unit.Moment, entries []*endpoint.Entry) (allowed []*endpoint.Entry, until unit.Moment) {
	until = unit.Never
	var ejected []*record
	for _, e := range entries {
		if r, ok := g.records[e.Endpoint]; ok && r.ejected(now) {
			ejected = append(ejected, r)
			until = min(until, r.ejectedUntil)
		}
	}
	slices.SortFunc(ejected, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.ejectedAt, b.ejectedAt), strings.Compare(string(a.id), string(b.id)))
	})
	ejected = ejected[:min(len(ejected), len(entries)/3)]
	if len(ejected) == 0 {
		return entries, until
	}
	leftOut := make(map[unit.EndpointID]bool, len(ejected))
	for _, r := range ejected {
		leftOut[r.id] = true
	}
	allowed = make([]*endpoint.Entry, 0, len(entries)-len(ejected))
	for _, e := range entries {
		if !leftOut[e.Endpoint] {
			allowed = append(allowed, e)
		}
	}
	return allowed, until
}

// prune drops the records of endpoints without recent reports, once there are maxRecords records.
func (g *Detector) prune(now unit.Moment) {
	if len(g.records) < maxRecords {
		return
	}
	for id, r := range g.records {
		if now.Sub(r.decayedAt) >= recordRetention && !r.ejected(now) {
			delete(g.records, id)
		}
	}
}

// lowerMedian returns the lower of the two middle values, so that with few endpoints a slow one isn't compared with
// itself.
func lowerMedian(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
