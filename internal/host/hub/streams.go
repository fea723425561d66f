package hub

import (
	"slices"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/streamorigin"
)

// streamRecords are the origins of streams that this host keeps, and whether entry hosts need to record them.
type streamRecords struct {
	own       *streamorigin.Register // reported by the entry hosts that sync with this host
	copies    *streamorigin.Register // reported to other control hosts
	partner   unit.HostName          // control host that gets a copy of own
	epoch     unit.Incarnation       // of partner
	sent      uint64                 // number of the last record that was sent to partner
	startedAt unit.Moment
	// tableChangedAt is when another table came into force. splitRoutes is set if a route of the table leads to several services.
	tableChangedAt unit.Moment
	tableVersion   table.Version
	splitRoutes    bool
}

func newStreamRecords(now unit.Moment) streamRecords {
	return streamRecords{own: streamorigin.New(), copies: streamorigin.New(), startedAt: now, tableChangedAt: now}
}

// updateTable records a change of the table. The lock must be held, as for all functions below.
func (h *Hub) updateTable(now unit.Moment) {
	s := &h.streams
	if s.tableVersion == h.tablePage.Version {
		return
	}
	s.tableVersion, s.tableChangedAt, s.splitRoutes = h.tablePage.Version, now, false
	var t table.Table
	if err := codec.Unmarshal(h.tablePage.Table, &t); err != nil {
		h.Log.Error("table-not-taken", "cause", err.Error())
		s.splitRoutes = true
		return
	}
	s.splitRoutes = slices.ContainsFunc(t.Routes, func(r table.Route) bool { return r.Resumable && len(r.Targets) > 1 })
}

// streamsMixed reports whether a stream that began within the last streamorigin.Retention may have had one of several origins.
func (h *Hub) streamsMixed(now unit.Moment) bool {
	h.updateTable(now)
	s := &h.streams
	return s.splitRoutes || now.Sub(s.tableChangedAt) < streamorigin.Retention || h.registry.MixedSoftware(now, streamorigin.Retention)
}

// needsStreamRecords reports whether entry hosts must record streams, since their origins don't follow from what this host knows.
func (h *Hub) needsStreamRecords(now unit.Moment) bool {
	return h.streamsMixed(now) || now.Sub(h.streams.startedAt) < streamorigin.Retention
}

// findStream answers the question where a stream began.
func (h *Hub) findStream(now unit.Moment, q streamorigin.Query, connected bool) streamorigin.Answer {
	var answer streamorigin.Answer
	for _, register := range []*streamorigin.Register{h.streams.own, h.streams.copies} {
		if origin, ok := register.Find(q.ID); ok {
			answer.Origin, answer.Found = origin, true
			break
		}
	}
	answer.Mixed = h.streamsMixed(now)
	if connected && !h.needsStreamRecords(now) {
		answer.Software, answer.Uniform = h.registry.Software(q.Service)
	}
	return answer
}

// streamCopies returns the records that the given control host hasn't got yet, if it is the one that gets copies.
func (h *Hub) streamCopies(name unit.HostName) []streamorigin.Batch {
	s := &h.streams
	if name != s.partner {
		return nil
	}
	update := s.own.Since(s.sent)
	s.sent = update.Number
	return update.Batches
}

// choosePartner chooses the control host that gets copies of this host's records: the next one by name, of another data centre if there
// is one.
func (h *Hub) choosePartner(now unit.Moment) {
	var others, elsewhere []unit.HostName
	for name, peer := range h.peers {
		if now.Sub(peer.heardAt) >= hostSilenceTimeout {
			continue
		}
		others = append(others, name)
		if peer.DataCentre != h.DataCentre {
			elsewhere = append(elsewhere, name)
		}
	}
	if len(elsewhere) > 0 {
		others = elsewhere
	}
	partner := nextName(h.Name, others)
	if s := &h.streams; partner != s.partner || h.peers[partner].Epoch != s.epoch {
		s.partner, s.epoch, s.sent = partner, h.peers[partner].Epoch, 0
	}
}

// nextName returns the first of the names after the given one in sorted order, or the first of all if there is none after it.
func nextName(after unit.HostName, names []unit.HostName) unit.HostName {
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	i := slices.IndexFunc(names, func(name unit.HostName) bool { return name > after })
	return names[max(i, 0)]
}
