// Package harness provides what all emulators use: announcements to entry hosts, an HTTP server that can stop and
// restart on its address to emulate a crash, and durations encoded as text.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// DefaultAnnounceInterval is what entry hosts expect; they drop an endpoint that has not announced itself for 2 s.
	DefaultAnnounceInterval = 500 * time.Millisecond
	requestTimeout          = 2 * time.Second
	maxAnswerBytes          = 64 << 10
)

// Load is the load report inside an announcement.
type Load struct {
	Running      int   `json:"running"`
	Queued       int   `json:"queued"`
	QueuedTokens int64 `json:"queued-tokens"`
	FreeSlots    int   `json:"free-slots"`
}

// Announcement is the body of POST /endpoint/v1/announce and of GET /engine/v1/state.
type Announcement struct {
	Endpoint       string `json:"endpoint-id"`
	Kind           string `json:"kind"`
	Address        string `json:"address"`
	DataCentre     string `json:"data-centre"`
	Incarnation    uint64 `json:"incarnation"`
	Model          string `json:"model,omitempty"`
	Weights        string `json:"weights-version,omitempty"`
	Software       string `json:"software-version,omitempty"`
	Service        string `json:"service,omitempty"`
	Slots          int    `json:"slots"`
	CachePieces    int    `json:"cache-pieces"`
	HonoursFencing bool   `json:"honours-fencing"`
	Draining       bool   `json:"draining"`
	Loading        bool   `json:"loading"`
	Sequence       uint64 `json:"sequence"`
	Load           Load   `json:"load"`
}

// Answer is an entry host's answer to an announcement.
type Answer struct {
	CacheEventSample int `json:"cache-event-sample"`
}

// Options are the dependencies of an Announcer.
type Options struct {
	Entries  []string // base URLs of entry hosts
	Key      string   // announce key
	Interval time.Duration
	// Build returns the current announcement; false skips the announcement, for instance while the emulator is down.
	Build func() (Announcement, bool)
	// OnAnswer is called with every answer; nil ignores the answers.
	OnAnswer func(entry string, answer Answer)
}

// Announcer posts announcements. It is safe for concurrent use.
type Announcer struct {
	options Options
	client  *http.Client

	wakeups []chan struct{}
}

// NewAnnouncer returns an announcer; Run starts it.
func NewAnnouncer(options Options) *Announcer {
	if options.Interval <= 0 {
		options.Interval = DefaultAnnounceInterval
	}
	a := &Announcer{options: options, client: &http.Client{Timeout: requestTimeout}}
	for range options.Entries {
		a.wakeups = append(a.wakeups, make(chan struct{}, 1))
	}
	return a
}

// Run announces to all entry hosts until ctx ends. Each has its own loop, so that one that does not respond delays no other.
func (a *Announcer) Run(ctx context.Context) {
	var group sync.WaitGroup
	for i, entry := range a.options.Entries {
		group.Go(func() { a.loop(ctx, entry, a.wakeups[i]) })
	}
	group.Wait()
	a.client.CloseIdleConnections()
}

// AnnounceNow triggers an announcement without waiting for the interval, for changes that entry hosts should learn early.
func (a *Announcer) AnnounceNow() {
	for _, wakeup := range a.wakeups {
		select {
		case wakeup <- struct{}{}:
		default:
		}
	}
}

// Post sends one JSON body to path on an entry host and decodes the answer into result when it isn't nil.
func (a *Announcer) Post(ctx context.Context, entry, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+a.options.Key)
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || result == nil || response.StatusCode != http.StatusOK {
		return err
	}
	return json.Unmarshal(answer, result)
}

func (a *Announcer) loop(ctx context.Context, entry string, wakeup <-chan struct{}) {
	ticker := time.NewTicker(a.options.Interval)
	defer ticker.Stop()
	for {
		a.announce(ctx, entry)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wakeup:
		}
	}
}

func (a *Announcer) announce(ctx context.Context, entry string) {
	announcement, ok := a.options.Build()
	if !ok {
		return
	}
	var answer Answer
	if err := a.Post(ctx, entry, "/endpoint/v1/announce", announcement, &answer); err != nil {
		klog.V(2).Infof("harness: entry host %s did not accept the announcement: %v", entry, err)
		return
	}
	if a.options.OnAnswer != nil {
		a.options.OnAnswer(entry, answer)
	}
}
