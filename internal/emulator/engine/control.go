package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/citronglade/citronglade/internal/emulator/harness"
)

const maxLoadReports = 256

// Counters is the body of GET /emulator/v1/counters. PromptTokens is the sum of CachedTokens, ImportedTokens and
// RecomputedTokens.
type Counters struct {
	Requests         int64 `json:"requests"`
	Refused          int64 `json:"refused"`
	Finished         int64 `json:"finished"`
	Cancelled        int64 `json:"cancelled"`
	Resumed          int64 `json:"resumed"`
	ResumeMismatches int64 `json:"resume-mismatches"` // Citronglade-Delivered differed from the text that this engine generates
	PromptTokens     int64 `json:"prompt-tokens"`
	CachedTokens     int64 `json:"cached-tokens"`
	ImportedTokens   int64 `json:"imported-tokens"`
	RecomputedTokens int64 `json:"recomputed-tokens"`
	OutputTokens     int64 `json:"output-tokens"`
	Crashes          int64 `json:"crashes"`
	Running          int   `json:"running"`
	Queued           int   `json:"queued"`
	CachedPieces     int   `json:"cached-pieces"`
	MostIn4s         int   `json:"most-in-4s"` // most requests in 4 s since the current request-limit was set
}

type loadReport struct {
	at   time.Time
	load harness.Load
}

// Counters returns the counts since New; a crash does not reset them.
func (e *Emulator) Counters() Counters {
	e.mu.Lock()
	counts, s := e.counts, e.state
	e.mu.Unlock()
	load := s.load(e.options.Slots)
	counts.Running, counts.Queued, counts.CachedPieces = load.Running, load.Queued, s.cache.len()
	counts.MostIn4s = e.requestLimit.Most()
	return counts
}

func (e *Emulator) updateCounters(change func(*Counters)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

func (e *Emulator) handleCounters(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Counters())
}

func (e *Emulator) handleSettings(w http.ResponseWriter, r *http.Request) {
	settings := e.currentSettings()
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBodyBytes)).Decode(&settings); err != nil {
		writeError(w, http.StatusBadRequest, "", "cannot read the settings")
		return
	}
	e.UpdateSettings(settings)
	writeJSON(w, settings)
}

// UpdateSettings replaces the settings.
func (e *Emulator) UpdateSettings(settings Settings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

func (e *Emulator) handleDrain(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.announcer.AnnounceNow()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) handleState(w http.ResponseWriter, _ *http.Request) {
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
		Incarnation:    uint64(e.state.incarnation),
		Model:          string(e.weights.model),
		Weights:        string(e.weights.current),
		Software:       string(e.options.Software),
		Slots:          e.options.Slots,
		CachePieces:    e.options.CachePieces,
		HonoursFencing: e.options.HonoursFencing,
		Draining:       e.draining,
		Loading:        e.weights.loading,
		Sequence:       e.announcementSequence.Add(1),
		Load:           load,
	}, !e.down && !e.settings.Silent
}

// reportedLoad returns the newest recorded load that is at least LoadReportAge old, or that of an idle engine if none is.
func (e *Emulator) reportedLoad() harness.Load {
	load := e.currentState().load(e.options.Slots)
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

func (s *incarnationState) load(slots int) harness.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return harness.Load{
		Running:      s.running,
		Queued:       s.queued,
		QueuedTokens: int64(s.queuedTokens),
		FreeSlots:    max(0, slots-s.running),
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error in the format of the OpenAI API. A non-empty reason tells the client that the request was
// certainly not executed.
func writeError(w http.ResponseWriter, status int, reason, message string) {
	if reason != "" {
		w.Header().Set("Citronglade-Refused", reason)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": message, "code": reason}})
}
