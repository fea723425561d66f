// Package engine emulates a language-model engine at the endpoint protocol: continuous batching, a prefix cache of
// limited size, priorities, resumption, exchange of pieces with a cache store, and the failures of real engines.
package engine

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/emulator/harness"
)

// The defaults describe a mid-sized engine: prefill of 2,000 tokens takes 250 ms, decoding a token takes 20 ms.
const (
	defaultSlots               = 16
	defaultCachePieces         = 64
	defaultPieceTokens         = 2000
	defaultBytesPerToken       = 4
	defaultPrefillRate         = 8000
	defaultImportRate          = 80000
	defaultDecodeTime          = 20 * time.Millisecond
	defaultDecodeTimeIncrement = 300 * time.Microsecond
	defaultLoadTime            = 800 * time.Millisecond
	defaultRestartDelay        = time.Second
	defaultOutputTokens        = 64
	maxOutputTokens            = 16384
)

// Options set up an emulated engine. Every duration is multiplied by TimeScale, except AnnounceInterval, because entry
// hosts measure the age of announcements in real time.
type Options struct {
	Listen      string // address to listen on, port 0 selects a free one
	Endpoint    unit.EndpointID
	DataCentre  unit.DataCentre
	Model       unit.ModelName
	Weights     unit.WeightsVersion  // also loaded again after a crash
	Software    unit.SoftwareVersion // engines of different versions write different texts; empty announces none
	Incarnation unit.Incarnation     // 0 selects the wall clock in milliseconds

	Entries          []string // base URLs of entry hosts
	AnnounceKey      string
	AnnounceInterval time.Duration // 0 means 500 ms
	Store            string        // address of the cache store for exports; empty disables exports

	Slots               int         // maximum number of requests in the batch
	CachePieces         int         // capacity of the prefix cache in pieces
	PieceTokens         unit.Tokens // size of a whole piece
	BytesPerToken       int
	PrefillRate         float64       // tokens/s, shared by all requests
	ImportRate          float64       // tokens/s for pieces from the cache store
	DecodeTime          time.Duration // time for each token of an answer with one request running
	DecodeTimeIncrement time.Duration // added to DecodeTime for each further running request

	LoadTime       time.Duration // time to load weights; negative means no delay
	WeightStore    *WeightStore  // can be shared by the emulators of a process; nil creates one for this engine
	HonoursFencing bool
	RestartDelay   time.Duration // time between a crash and the restart
	PoisonMarker   string        // a prompt that contains it crashes the engine when it begins to write the answer; empty disables
	TimeScale      float64       // 0 means 1
	Seed           uint64        // for the random loss of cache events
	Settings       Settings
}

// Settings can be changed while the engine runs; they are also the body of POST /emulator/v1/settings.
type Settings struct {
	SlowFactor    float64          `json:"slow-factor"`     // factor applied to prefill and decode times; 0 means 1
	LoadReportAge harness.Duration `json:"load-report-age"` // minimum age of the load in announcements
	EventDelay    harness.Duration `json:"event-delay"`     // delay between a change of the cache and its event
	EventLoss     float64          `json:"event-loss"`      // fraction of the event batches that are dropped, 0 to 1
	Silent        bool             `json:"silent"`          // stop announcing
	RequestLimit  float64          `json:"request-limit"`   // requests/s from all hosts together, named in all answers; 0 names none
	Brittle       float64          `json:"brittle"`         // rejections/s beyond which the engine crashes, named in all answers; no request waits then; 0 names none
}

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.CachePieces, defaultCachePieces)
	setDefault(&o.PieceTokens, defaultPieceTokens)
	setDefault(&o.BytesPerToken, defaultBytesPerToken)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.ImportRate, defaultImportRate)
	setDefault(&o.DecodeTime, defaultDecodeTime)
	setDefault(&o.DecodeTimeIncrement, defaultDecodeTimeIncrement)
	setDefault(&o.LoadTime, defaultLoadTime)
	setDefault(&o.RestartDelay, defaultRestartDelay)
	setDefault(&o.Weights, "w1")
	setDefault(&o.Model, "emulated")
	if o.WeightStore == nil {
		o.WeightStore = NewWeightStore(1)
	}
	if o.Incarnation == 0 {
		o.Incarnation = unit.Incarnation(time.Now().UnixMilli())
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
