package hub

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/codec"
	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/timer"
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/endpoints/registry"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/cachedparts"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

const (
	// followInterval is the time between two updates of the set of places that this host follows.
	followInterval = 250 * time.Millisecond
	// longPollWait is how long a place may delay its answer until it has events, and pollTimeout bounds the whole request.
	longPollWait, pollTimeout = time.Second, 1800 * time.Millisecond
	// minPollPause is the shortest pause between two requests to a place, so that one answer carries several events.
	minPollPause = 60 * time.Millisecond
	// maxPollsPerSecond bounds the requests for events that a control host sends in a second. With its answer, one request is assumed
	// to take half a millisecond of a core, so that these take a fifth of a core.
	maxPollsPerSecond = 400
	// pollRetryPause is the shortest pause after a failed request.
	pollRetryPause = 400 * time.Millisecond
	// maxRequestedPause bounds the pause that a place may ask for.
	maxRequestedPause = time.Hour
	// maxPollFailures is the number of consecutive failed requests after which what is known of the place's cached parts is dropped.
	maxPollFailures = 2
)

// eventSource is an engine or a store whose cache events this host reads.
type eventSource struct {
	place   cachedparts.Place
	id      unit.EndpointID // empty for a store
	born    int64
	address string
}

// updatePollers starts a poller for each place that this host has to follow, and stops those of other places. Each place is
// followed by one control host.
func (h *Hub) updatePollers(ctx context.Context) {
	h.mu.Lock()
	h.dropSilentPeers(h.Timer.Now())
	for _, change := range h.shared.TakeNewlyShared() {
		h.publishChange(change)
	}
	h.mu.Unlock()
	wanted := map[eventSource]bool{}
	for _, place := range h.eventSources() {
		if h.follows(place.place) {
			wanted[place] = true
		}
	}
	h.pollerCount.Store(int64(len(wanted)))
	for place, stop := range h.pollers {
		if !wanted[place] {
			stop()
			delete(h.pollers, place)
		}
	}
	for place := range wanted {
		if h.pollers[place] == nil {
			pollerContext, stop := context.WithCancel(ctx)
			h.pollers[place] = stop
			go h.pollEvents(pollerContext, place)
		}
	}
}

// eventSources returns all engines that report, and the store of the table in force.
func (h *Hub) eventSources() []eventSource {
	h.mu.Lock()
	defer h.mu.Unlock()
	var places []eventSource
	now := h.Timer.Now()
	for _, e := range h.registry.Present() {
		if len(e.Weights) > 0 && now.Sub(e.HeardAt) < h.ReportSilence {
			places = append(places, eventSource{place: cachedparts.Place(e.ID), id: e.ID, born: e.Born, address: e.Address})
		}
	}
	if h.tablePage.Version == 0 {
		return places
	}
	if h.storeTableVersion != h.tablePage.Version {
		h.storeTableVersion, h.storeAddress = h.tablePage.Version, storeAddressOf(h.tablePage.Table)
	}
	if h.storeAddress != "" {
		places = append(places, eventSource{place: cachedparts.Place(h.storeAddress), address: h.storeAddress})
	}
	return places
}

// storeAddressOf returns the address of the store in an encoded table, or "" without one. It ignores decoding errors, because a
// table that can't be decoded is refused when it is submitted.
func storeAddressOf(encoded []byte) string {
	var t table.Table
	if err := codec.Unmarshal(encoded, &t); err != nil {
		return ""
	}
	if s := t.Store(); s != nil {
		return s.Address
	}
	return ""
}

// follows reports whether this host is the one that follows a place, by rendezvous hashing over the control hosts that have
// sent their state lately.
func (h *Hub) follows(place cachedparts.Place) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Timer.Now()
	own := rendezvousWeight(h.Name, place)
	for name, peer := range h.peers {
		if now.Sub(peer.heardAt) < hostSilenceTimeout && rendezvousWeight(name, place) > own {
			return false
		}
	}
	return true
}

func rendezvousWeight(name unit.HostName, place cachedparts.Place) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + string(place))
}

// pollEvents polls one place for events and applies them until ctx ends, then drops what this host knows of the place.
func (h *Hub) pollEvents(ctx context.Context, place eventSource) {
	var since, epoch uint64
	failures := 0
	for ctx.Err() == nil {
		pollContext, cancel := context.WithTimeout(ctx, pollTimeout)
		feed, err := h.Engines.Events(pollContext, place.id, place.address, since, longPollWait)
		cancel()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			failures++
			if failures == maxPollFailures {
				h.forgetPlace(place, err)
			}
			requested, _ := fault.RetryAfterOf(err) // 0 if the place didn't ask for a pause
			timer.Sleep(ctx, max(pollRetryPause, min(requested, maxRequestedPause), h.limitedPollPause(place.id)))
			continue
		}
		cleared := since == 0 || feed.Epoch != epoch || feed.Lost || failures >= maxPollFailures
		failures = 0
		if cleared {
			h.Log.Info("events-followed", "place", string(place.place), "epoch", feed.Epoch, "since", since, "next", feed.Next,
				"events", len(feed.Events), "lost", feed.Lost)
		}
		since, epoch = feed.Next, feed.Epoch
		if feed.Leaving && place.id != "" {
			h.mu.Lock()
			h.markLeaving(registry.Lifetime{Endpoint: place.id, Born: place.born}, string(place.id))
			h.mu.Unlock()
		}
		h.applyEvents(place.place, cleared, feed.Events)
		timer.Sleep(ctx, max(pollPause(int(h.pollerCount.Load())), h.limitedPollPause(place.id)))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shared.Forget(place.place)
	h.ownHoldings.Forget(place.place)
	h.updateOwner(place.place)
}

// pollPause returns the pause between two requests to one place when this host follows the given number of places.
func pollPause(places int) time.Duration {
	return max(minPollPause, time.Duration(places)*time.Second/maxPollsPerSecond)
}

// limitedPollPause returns the pause that keeps the requests to an endpoint within pollShare of the limit that it names, 0 without a limit.
func (h *Hub) limitedPollPause(id unit.EndpointID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, _ := h.registry.Endpoint(id)
	if !e.Limit.InForce() {
		return 0
	}
	return time.Duration(float64(time.Second) / (pollShare * e.Limit.Rate()))
}

// forgetPlace drops what this host knows of a place that doesn't answer.
func (h *Hub) forgetPlace(place eventSource, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ownHoldings.Known(place.place) {
		h.Log.Warn("events-lost", "place", string(place.place), "cause", err.Error())
	}
	h.shared.Forget(place.place)
	h.ownHoldings.Forget(place.place)
	h.updateOwner(place.place)
}

// applyEvents applies the events of a place in their order. If cleared is set, they replace what was known of the place.
func (h *Hub) applyEvents(place cachedparts.Place, cleared bool, events []CacheEvent) {
	converted := make([]sharing.Event, 0, len(events))
	for _, event := range events {
		converted = append(converted, sharing.Event{Removed: event.Removed, Name: sharing.NewPartID(event.Part), Part: cachedparts.NewPart(event.CacheKey, event.Part)})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publishChange(h.shared.Apply(place, cleared, converted))
}

// publishChange applies a change at a place that this host follows, and makes it part of what the other control hosts are sent.
// The lock must be held.
func (h *Hub) publishChange(change cachedparts.Change) {
	h.ownHoldings.Apply([]cachedparts.Change{change})
	h.applyChange(h.Name, change)
}

// mergeHoldings applies another control host's update of the cached parts at the places that it follows. The lock must be held, as
// for the functions below.
func (h *Hub) mergeHoldings(from unit.HostName, update cachedparts.Update) {
	peerHoldings := h.peerHoldings[from]
	if peerHoldings == nil {
		peerHoldings = cachedparts.New()
		h.peerHoldings[from] = peerHoldings
	}
	before := peerHoldings.Places()
	for _, change := range peerHoldings.Merge(update) {
		h.applyChange(from, change)
	}
	if update.Full {
		for _, place := range before {
			h.updateOwner(place)
		}
	}
}

// applyChange applies a change to the holdings of all places if it comes from the host that already owned the place. When the
// owner changes, updateOwner takes over all of the new owner's parts instead.
func (h *Hub) applyChange(from unit.HostName, change cachedparts.Change) {
	before := h.placeOwners[change.Place]
	h.updateOwner(change.Place)
	if before == from && h.placeOwners[change.Place] == before {
		h.holdings.Apply([]cachedparts.Change{change})
	}
}

// updateOwner decides which control host's data are used for a place, because two hosts may follow the same place while they don't
// receive each other's state. After a change of the owner, the new owner's data replace those of the former one.
func (h *Hub) updateOwner(place cachedparts.Place) {
	owner, ownerHoldings := unit.HostName(""), (*cachedparts.Map)(nil)
	if h.ownHoldings.Known(place) {
		owner, ownerHoldings = h.Name, h.ownHoldings
	}
	for name, peerHoldings := range h.peerHoldings {
		if peerHoldings.Known(place) && (owner == "" || rendezvousWeight(name, place) > rendezvousWeight(owner, place)) {
			owner, ownerHoldings = name, peerHoldings
		}
	}
	if owner == h.placeOwners[place] {
		return
	}
	if owner == "" {
		delete(h.placeOwners, place)
		h.holdings.Forget(place)
		return
	}
	h.placeOwners[place] = owner
	h.holdings.Apply([]cachedparts.Change{{Place: place, Cleared: true, Added: ownerHoldings.Parts(place)}})
}

// dropSilentPeers drops the holdings of control hosts that have sent nothing for hostSilenceTimeout.
func (h *Hub) dropSilentPeers(now unit.Moment) {
	for name, peerHoldings := range h.peerHoldings {
		if now.Sub(h.peers[name].heardAt) < hostSilenceTimeout {
			continue
		}
		delete(h.peerHoldings, name)
		h.requestFullHolding(name)
		for _, place := range peerHoldings.Places() {
			h.updateOwner(place)
		}
	}
}

// requestFullHolding resets the number up to which this host has read a control host's holdings, so that the control host sends all
// of them again.
func (h *Hub) requestFullHolding(name unit.HostName) {
	peer := h.peers[name]
	peer.readHolding = 0
	h.peers[name] = peer
}
