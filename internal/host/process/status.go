package process

import (
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronglade/citronglade/internal/agreement/member"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/host/metricspage"
	"github.com/citronglade/citronglade/internal/host/operators"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

func (p *Process) status() operators.HostStatus {
	status := operators.HostStatus{
		Name: p.settings.Name, DataCentre: p.settings.DataCentre, Incarnation: p.incarnation, Ready: p.ready(),
	}
	for _, role := range p.settings.Roles {
		status.Roles = append(status.Roles, string(role))
	}
	if p.entry != nil {
		p.addEntryStatus(&status)
	}
	if p.control != nil {
		p.addControlStatus(&status)
	}
	return status
}

func (p *Process) addEntryStatus(status *operators.HostStatus) {
	now := p.timer.Now()
	status.ValidFor, status.Configuration = p.entry.Follower().Remaining(now)
	if view, err := p.entry.Follower().View(now); err == nil {
		status.SheetDigest = view.Digest
	}
	status.Running, status.Waiting = p.entry.Load()
	status.Endpoints = len(p.entry.Router().Endpoints())
	status.IndexPieces, _ = p.entry.Router().IndexSize()
	status.RecordUnsynced = p.entry.Writer().BufferLevel().Entries
}

func (p *Process) addControlStatus(status *operators.HostStatus) {
	for number, group := range p.control.Status() {
		status.Groups = append(status.Groups, groupStatus(number, group))
	}
	if p.entry == nil {
		current := p.control.Configuration()
		status.Configuration, status.SheetDigest = current.Version, current.SheetDigest
	}
	for _, model := range p.control.Rollout().Models {
		status.Rollout = append(status.Rollout, operators.ModelStatus{
			Model: model.Model, Target: model.Target, Replicas: model.Replicas, Done: model.Done, Loading: model.Loading,
			Failed: model.Failed, Paused: model.Paused, Aborted: model.Aborted, Blocked: model.Blocked,
		})
	}
}

func groupStatus(number int, s member.Status) operators.GroupStatus {
	return operators.GroupStatus{
		Group: number, Leader: unit.HostName(s.Leader), Term: s.Term, Applied: s.Applied, Voters: s.Voters,
		Learners: s.Learners, LogBytes: s.LogBytes, LastSync: s.LastSync, LeftAside: s.LeftAside.Folder,
	}
}

// endpointStatuses returns the endpoints as the entry role knows them.
func (p *Process) endpointStatuses() []operators.EndpointStatus {
	now := p.timer.Now()
	var list []operators.EndpointStatus
	for _, e := range p.entry.Router().Endpoints() {
		list = append(list, operators.EndpointStatus{
			Endpoint: e.Endpoint, Kind: string(e.Kind), Name: e.Name(), Address: e.Address,
			DataCentre: e.DataCentre, Incarnation: e.Incarnation, Weights: e.Weights,
			State:   endpointState(e, now.Sub(e.AnnouncedAt) >= p.settings.Freshness),
			Running: e.Load.Running, Queued: e.Load.Queued, InFlight: e.InFlight,
		})
	}
	return list
}

// endpointState returns the value of operators.EndpointStatus.State. silent says that the endpoint's last announcement is too old.
func endpointState(e endpoint.Entry, silent bool) string {
	switch {
	case silent:
		return "silent"
	case e.Draining || e.DrainOrdered:
		return "draining"
	case e.Loading:
		return "loading"
	default:
		return "usable"
	}
}

// metricsHandler returns the handler for /metrics, /healthz and /readyz, which have their own listener.
func (p *Process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	mux.Handle("GET /metrics", metricspage.New(p.timer.Now, func(w io.Writer) {
		p.writeGauges(w)
		metrics.WritePrometheus(w, true)
	}))
	return mux
}

func (p *Process) writeGauges(w io.Writer) {
	sent, received := p.link.Traffic()
	metrics.WriteCounterUint64(w, "citronglade_link_sent_bytes_total", sent)
	metrics.WriteCounterUint64(w, "citronglade_link_received_bytes_total", received)
	status := p.status()
	metrics.WriteGaugeUint64(w, "citronglade_configuration_version", uint64(status.Configuration))
	metrics.WriteGaugeUint64(w, "citronglade_requests_running", uint64(status.Running))
	metrics.WriteGaugeUint64(w, "citronglade_requests_waiting", uint64(status.Waiting))
	metrics.WriteGaugeUint64(w, "citronglade_endpoints", uint64(status.Endpoints))
	metrics.WriteGaugeUint64(w, "citronglade_index_pieces", uint64(status.IndexPieces))
	metrics.WriteGaugeUint64(w, "citronglade_record_unsynced_entries", uint64(status.RecordUnsynced))
	for _, group := range status.Groups {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`citronglade_group_applied{group="%d"}`, group.Group), group.Applied)
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`citronglade_group_term{group="%d"}`, group.Group), group.Term)
		leftAside := uint64(0)
		if group.LeftAside != "" {
			leftAside = 1
		}
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`citronglade_group_log_left_aside{group="%d"}`, group.Group), leftAside)
	}
}
