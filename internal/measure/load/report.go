package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/measure/shape"
)

const (
	// The histograms hold times in microseconds up to maxRecorded, with significantDigits decimal digits. Longer times are
	// counted as maxRecorded.
	maxRecorded       = 150 * time.Second
	significantDigits = 3
)

// Quantiles summarises the distribution of a time, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Group is the part of a report on one kind of request.
type Group struct {
	Call       string         `json:"call"`
	Class      unit.ClassName `json:"class"`
	Sent       int            `json:"sent"`
	Complete   int            `json:"complete"`
	Codes      map[string]int `json:"codes"` // number of refusals and failures by code
	FirstToken Quantiles      `json:"first-token-ms"`
	Refusal    Quantiles      `json:"refusal-ms"` // time to an answer that says "not run"

	first, refusal *hdrhistogram.Histogram
}

// PoisonedRequests counts the requests with a part in their prompts that crashes engines.
type PoisonedRequests struct {
	Sent    int `json:"sent"`
	Refused int `json:"refused"`
	Crashes int `json:"crashes"` // of emulated engines, during the run
}

// LimitedEngine is an emulated engine that named a limit during the run.
type LimitedEngine struct {
	Address  string `json:"address"`
	MostIn4s int    `json:"most-in-4s"` // most requests in 4 s
}

// Report is the result of a part of a run, by default of the whole run without its warm-up.
type Report struct {
	Seconds      float64     `json:"seconds"`
	Sent         int         `json:"sent"`
	Complete     int         `json:"complete"`
	Refused      int         `json:"refused"`
	Failed       int         `json:"failed"` // neither complete nor "not run"
	Wrong        int         `json:"wrong"`  // incomplete, tokens out of order, or unexpected text
	PromptTokens unit.Tokens `json:"prompt-tokens"`
	CachedTokens unit.Tokens `json:"cached-tokens"`
	// Poisoned counts the requests with a part that crashes engines. They count nowhere else.
	Poisoned PoisonedRequests `json:"poisoned"`
	// UnavoidableTokens are the prompt tokens of complete requests that no cache could hold.
	UnavoidableTokens unit.Tokens `json:"unavoidable-tokens"`
	// HitRate is the ratio of cached to prompt tokens. BestHitRate is the hit rate that an unlimited cache shared by all
	// engines would reach. Recomputed is the ratio of the prompt tokens that were computed to those that had to be.
	HitRate     float64  `json:"hit-rate"`
	BestHitRate float64  `json:"best-hit-rate"`
	Recomputed  float64  `json:"recomputed-ratio"`
	Groups      []*Group `json:"calls"`

	samples []Sample
	// LimitedEngines are the emulated engines that named a limit during the run.
	LimitedEngines []LimitedEngine `json:"limited-engines,omitempty"`
}

func newReport(samples []Sample, from, until time.Duration) *Report {
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	return (&Report{samples: samples}).Between(from, until)
}

// Between returns the report on the requests that were due at from or later and before until, since the start of the run.
func (r *Report) Between(from, until time.Duration) *Report {
	part := &Report{Seconds: (until - from).Seconds()}
	for _, s := range r.samples {
		if s.At >= from && s.At < until {
			part.samples = append(part.samples, s)
		}
	}
	part.count()
	return part
}

// Merge returns one report on several runs, for instance on runs with different seeds.
func Merge(reports ...*Report) *Report {
	merged := &Report{}
	for _, r := range reports {
		merged.samples = append(merged.samples, r.samples...)
		merged.Seconds += r.Seconds
	}
	merged.count()
	return merged
}

// Group returns the report on one kind of request. It is empty if the run had no such request.
func (r *Report) Group(call string) *Group {
	for _, g := range r.Groups {
		if g.Call == call {
			return g
		}
	}
	return newGroup(shape.Call{Name: call})
}

// InTime returns the fractions of the sent and of the admitted requests of one kind that were answered completely and whose
// first token came within the deadline. Admitted requests are those that were not refused.
func (r *Report) InTime(call string, deadline time.Duration) (ofSent, ofAdmitted float64) {
	sent, within, refused := 0, 0, 0
	for _, s := range r.samples {
		if s.Call.Name != call {
			continue
		}
		sent++
		if s.Refused {
			refused++
		}
		if s.Code == "" && s.FirstToken <= deadline {
			within++
		}
	}
	return float64(within) / float64(max(sent, 1)), float64(within) / float64(max(sent-refused, 1))
}

// Customers returns the number of complete requests of each customer.
func (r *Report) Customers() map[unit.CustomerID]int {
	complete := map[unit.CustomerID]int{}
	for _, s := range r.samples {
		if s.Code == "" {
			complete[s.Customer]++
		}
	}
	return complete
}

// last returns the time at which the last request was due, since the start of the run.
func (r *Report) last() time.Duration {
	if len(r.samples) == 0 {
		return 0
	}
	return r.samples[len(r.samples)-1].At
}

func (r *Report) count() {
	groups := map[string]*Group{}
	for _, s := range r.samples {
		if s.Poisoned {
			r.Poisoned.Sent++
			if s.Refused {
				r.Poisoned.Refused++
			}
			continue
		}
		g, ok := groups[s.Call.Name]
		if !ok {
			g = newGroup(s.Call)
			groups[s.Call.Name] = g
		}
		g.add(s)
		r.add(s)
	}
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		g := groups[name]
		g.FirstToken, g.Refusal = quantiles(g.first), quantiles(g.refusal)
		r.Groups = append(r.Groups, g)
	}
	if r.PromptTokens > 0 {
		r.HitRate = float64(r.CachedTokens) / float64(r.PromptTokens)
		r.BestHitRate = 1 - float64(r.UnavoidableTokens)/float64(r.PromptTokens)
	}
	if r.UnavoidableTokens > 0 {
		r.Recomputed = float64(r.PromptTokens-r.CachedTokens) / float64(r.UnavoidableTokens)
	}
}

func (r *Report) add(s Sample) {
	r.Sent++
	switch {
	case s.Code == "":
		r.Complete++
		if s.Call.Model {
			r.PromptTokens += s.PromptTokens
			r.CachedTokens += s.CachedTokens
			r.UnavoidableTokens += s.NewTokens
		}
	case s.Refused:
		r.Refused++
	default:
		r.Failed++
	}
	if s.Code == codeWrong || s.Code == codeIncomplete || s.Code == codeOutOfOrder {
		r.Wrong++
	}
}

func newGroup(c shape.Call) *Group {
	return &Group{Call: c.Name, Class: c.Class, Codes: map[string]int{}, first: histogram(), refusal: histogram()}
}

func (g *Group) add(s Sample) {
	g.Sent++
	switch {
	case s.Code == "":
		g.Complete++
		record(g.first, s.FirstToken)
		return
	case s.Refused:
		record(g.refusal, s.Total)
	}
	g.Codes[s.Code]++
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)
}

func record(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took.Microseconds(), 1), maxRecorded.Microseconds()))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: quantile(50), P95: quantile(95), P99: quantile(99),
		Max: float64(h.Max()) / 1000,
	}
}

// Print writes the report as text.
func (r *Report) Print(to io.Writer) {
	_, _ = fmt.Fprintf(to, "%.0f s: %d sent, %d complete, %d refused, %d failed, %d wrong; hit rate %.4f of at most %.4f, %.2f times the unavoidable tokens recomputed\n",
		r.Seconds, r.Sent, r.Complete, r.Refused, r.Failed, r.Wrong, r.HitRate, r.BestHitRate, r.Recomputed)
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "call\tclass\tsent\tcomplete\tfirst token p50\tp95\tp99\tmax (ms)\trefusal p99 (ms)\trefusals and failures")
	for _, g := range r.Groups {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n", g.Call, g.Class, g.Sent, g.Complete,
			g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99, g.FirstToken.Max, g.Refusal.P99, g.Codes)
	}
	_ = w.Flush()
	if d := r.Poisoned; d.Sent > 0 {
		_, _ = fmt.Fprintf(to, "requests with a part that crashes engines: %d sent, %d refused; %d crashes of engines\n", d.Sent, d.Refused, d.Crashes)
	}
	for _, e := range r.LimitedEngines {
		_, _ = fmt.Fprintf(to, "limited engine %s: %d requests in 4 s at most\n", e.Address, e.MostIn4s)
	}
}
