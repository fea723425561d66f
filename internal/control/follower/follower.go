// Package follower holds the configuration that an entry host serves, and until when it may serve it.
package follower

import (
	"sync"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/configuration"
	"github.com/citronglade/citronglade/internal/planning/sheet"
)

// Request asks a control host or another entry host for an update from the version Known.
type Request struct {
	Known unit.ConfigurationVersion `cbor:"1,keyasint"`
}

// Answer confirms a version for the time ValidFor. ValidFor counts from the moment at which the requesting host sent its
// request, so that neither network delays nor a frozen process can extend it. If ValidFor is 0, nothing is confirmed.
type Answer struct {
	ValidFor time.Duration        `cbor:"1,keyasint"`
	Update   configuration.Update `cbor:"2,keyasint"`
}

// View is the configuration in force at one moment.
type View struct {
	Version unit.ConfigurationVersion
	Digest  string
	Sheet   *sheet.Sheet
	Weights map[unit.ModelName]unit.WeightsVersion
	// Stale is set if the host keeps serving the version although its confirmation has expired.
	Stale bool
}

// Follower holds the newest configuration of a host and the time until which it is confirmed. It is safe for concurrent use.
type Follower struct {
	serveStale bool

	mu         sync.Mutex
	current    configuration.Current
	sheet      *sheet.Sheet
	validUntil unit.Moment
	confirmed  bool
	// requestWhole is set after an update that didn't fit the current version.
	requestWhole bool
	// lastUpdate is the newest update; it is passed on to hosts that lack only this one.
	lastUpdate configuration.Update
	onChange   func(version unit.ConfigurationVersion)
}

// New returns a follower without a configuration. With serveStale, it keeps serving a configuration whose confirmation has
// expired, but it never serves one before the first confirmation. If onChange isn't nil, it is called with each new version.
func New(serveStale bool, onChange func(version unit.ConfigurationVersion)) *Follower {
	return &Follower{serveStale: serveStale, onChange: onChange}
}

// Request returns the request for the newest version.
func (f *Follower) Request() Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requestWhole {
		return Request{}
	}
	return Request{Known: f.current.Version}
}

// Accept applies the answer to a request that was sent at the given moment. It ignores versions older than the current one.
// It fails with fault.Corrupt if the update doesn't fit; the next request then asks for the whole configuration.
func (f *Follower) Accept(sent unit.Moment, a Answer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.Update.Version < f.current.Version {
		return nil
	}
	if !a.Update.Empty() {
		if err := f.apply(a.Update); err != nil {
			return err
		}
	}
	if a.ValidFor <= 0 {
		return nil
	}
	f.confirmed = true
	f.validUntil = max(f.validUntil, sent.Add(a.ValidFor))
	return nil
}

// View returns the configuration that is in force at the moment now. It fails with fault.StaleConfiguration if the configuration isn't
// confirmed. It must be called for every decision, so that a host whose process was frozen detects an expired confirmation
// before it decides anything.
func (f *Follower) View(now unit.Moment) (View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stale := f.validUntil.Before(now)
	if !f.confirmed || f.sheet == nil {
		return View{}, fault.StaleConfiguration.New("this host hasn't received a configuration yet").WithProperty(fault.RetryAfter, time.Second)
	}
	if stale && !f.serveStale {
		return View{}, fault.StaleConfiguration.New("this host can't confirm its configuration").WithProperty(fault.RetryAfter, time.Second)
	}
	return View{
		Version: f.current.Version, Digest: f.current.SheetDigest, Sheet: f.sheet, Weights: f.current.Weights, Stale: stale,
	}, nil
}

// Answer returns the answer to another entry host's request. It confirms this host's own version for its remaining time and
// includes the newest update if the other host lacks only that. Thus a change spreads from host to host, and the control
// hosts send it only a few times.
func (f *Follower) Answer(now unit.Moment, r Request) Answer {
	f.mu.Lock()
	defer f.mu.Unlock()
	validFor := max(f.validUntil.Sub(now), 0)
	switch r.Known {
	case f.current.Version:
		return Answer{ValidFor: validFor, Update: configuration.Update{Base: r.Known, Version: r.Known}}
	case f.lastUpdate.Base:
		return Answer{ValidFor: validFor, Update: f.lastUpdate}
	default:
		// A host that lacks more than one update must ask a control host, which keeps older ones.
		return Answer{Update: configuration.Update{Base: r.Known, Version: r.Known}}
	}
}

// Remaining returns how long the configuration is still confirmed, and its version.
func (f *Follower) Remaining(now unit.Moment) (time.Duration, unit.ConfigurationVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.validUntil.Sub(now), 0), f.current.Version
}

func (f *Follower) apply(update configuration.Update) error {
	next, err := update.Apply(f.current)
	if err != nil {
		f.requestWhole = true
		return err
	}
	parsed, err := sheet.Decode(next.Sheet)
	if err != nil {
		return err
	}
	f.current, f.sheet, f.lastUpdate, f.requestWhole = next, parsed, update, false
	if f.onChange != nil {
		f.onChange(next.Version)
	}
	return nil
}
