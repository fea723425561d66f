package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/emulator/harness"
)

const maxLoadReports = 256

// Counters is the body of GET /emulator/v1/counters. Tokens of prompts divide into cached, imported and recomputed ones.
type Counters struct {
	Requests         int64 `json:"requests"`
	Refused          int64 `json:"refused"`
	Finished         int64 `json:"finished"`
	Cancelled        int64 `json:"cancelled"`
	Resumed          int64 `json:"resumed"`
	ResumeMismatches int64 `json:"resume-mismatches"` // Citronglade-Delivered wasn't this engine's own text
	PromptTokens     int64 `json:"prompt-tokens"`
	CachedTokens     int64 `json:"cached-tokens"`
	ImportedTokens   int64 `json:"imported-tokens"`
	RecomputedTokens int64 `json:"recomputed-tokens"`
	OutputTokens     int64 `json:"output-tokens"`
	Crashes          int64 `json:"crashes"`
	Running          int   `json:"running"`
	Queued           int   `json:"queued"`
	CachedPieces     int   `json:"cached-pieces"`
}

type loadReport struct {
	at   time.Time
	load harness.Load
}

// Counters returns the counts since New; they survive crashes.
func (e *Emulator) Counters() Counters {
	e.mu.Lock()
	counts, l := e.counts, e.life
	e.mu.Unlock()
	load := l.load(e.options.Slots)
	counts.Running, counts.Queued, counts.CachedPieces = load.Running, load.Queued, l.cache.len()
	return counts
}

func (e *Emulator) count(change func(*Counters)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

func (e *Emulator) reportCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counters())
}

func (e *Emulator) adjust(w http.ResponseWriter, r *http.Request) {
	settings := e.currentSettings()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBody)).Decode(&settings); err != nil {
		refuse(w, http.StatusBadRequest, "", "cannot read the settings")
		return
	}
	e.Adjust(settings)
	writeJSON(w, settings)
}

// Adjust replaces the settings.
func (e *Emulator) Adjust(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

func (e *Emulator) drain(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.announcer.AnnounceNow()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) state(w http.ResponseWriter, _ *http.Request) {
	announcement, _ := e.announcement()
	writeJSON(w, announcement)
}

func (e *Emulator) announcement() (harness.Announcement, bool) {
	load := e.reportedLoad()
	e.mu.Lock()
	defer e.mu.Unlock()
	return harness.Announcement{
		Endpoint:       string(e.options.Endpoint),
		Kind:           "engine",
		Address:        e.listener.ListenAddress(),
		DataCentre:     string(e.options.DataCentre),
		Incarnation:    uint64(e.life.incarnation),
		Model:          string(e.weights.model),
		Weights:        string(e.weights.current),
		Slots:          e.options.Slots,
		CachePieces:    e.options.CachePieces,
		HonoursFencing: e.options.HonoursFencing,
		Draining:       e.draining,
		Loading:        e.weights.loading,
		Sequence:       e.sequence.Add(1),
		Load:           load,
	}, !e.down && !e.settings.Silent
}

// reportedLoad returns the newest load that is at least LoadReportAge old.
func (e *Emulator) reportedLoad() harness.Load {
	load := e.current().load(e.options.Slots)
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	age := e.scale(time.Duration(e.settings.LoadReportAge))
	e.reports = append(e.reports, loadReport{at: now, load: load})
	if len(e.reports) > maxLoadReports {
		e.reports = e.reports[1:]
	}
	reported := harness.Load{FreeSlots: e.options.Slots}
	for _, report := range e.reports {
		if now.Sub(report.at) >= age {
			reported = report.load
		}
	}
	return reported
}

func (l *life) load(slots int) harness.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return harness.Load{
		Running:      l.running,
		Queued:       l.queued,
		QueuedTokens: int64(l.queuedTokens),
		FreeSlots:    max(0, slots-l.running),
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// refuse answers with an error in OpenAI's shape. A reason says that the request certainly did not run.
func refuse(w http.ResponseWriter, status int, reason, message string) {
	if reason != "" {
		w.Header().Set("Citronglade-Refused", reason)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": message, "code": reason}})
}
