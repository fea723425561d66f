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
	"github.com/citronglade/citronglade/internal/routing/holding"
	"github.com/citronglade/citronglade/internal/routing/sharing"
)

const (
	// feedInterval is the time between two looks at which places this host follows.
	feedInterval = 250 * time.Millisecond
	// feedWait is how long a place may hold a question for events, and feedTimeout bounds the question.
	feedWait, feedTimeout = time.Second, 1800 * time.Millisecond
	// feedPause lets events gather between two questions to a place.
	feedPause = 60 * time.Millisecond
	// feedRate bounds the questions that a control host asks in a second. One is taken to cost half a millisecond of a core with its
	// answer, so that these take a fifth of it.
	feedRate = 400
	// feedRetry is the pause after a failed question.
	feedRetry = 400 * time.Millisecond
	// mostFeedPause bounds the pause that a place may ask for.
	mostFeedPause = time.Hour
	// feedFailures is the number of failed questions in a row after which nothing is known of a place.
	feedFailures = 2
)

// feedPlace is an engine or a store whose events are followed.
type feedPlace struct {
	place   holding.Place
	id      unit.EndpointID // empty for a store
	born    int64
	address string
}

// follow starts and ends the following of places. Each is followed by one control host.
func (h *Hub) follow(ctx context.Context) {
	h.mu.Lock()
	h.forgetSilent(h.Timer.Now())
	for _, change := range h.shared.Release() {
		h.publish(change)
	}
	h.mu.Unlock()
	wanted := map[feedPlace]bool{}
	for _, place := range h.feedPlaces() {
		if h.follows(place.place) {
			wanted[place] = true
		}
	}
	h.following.Store(int64(len(wanted)))
	for place, stop := range h.feeds {
		if !wanted[place] {
			stop()
			delete(h.feeds, place)
		}
	}
	for place := range wanted {
		if h.feeds[place] == nil {
			feedContext, stop := context.WithCancel(ctx)
			h.feeds[place] = stop
			go h.read(feedContext, place)
		}
	}
}

// feedPlaces returns all engines and the store.
func (h *Hub) feedPlaces() []feedPlace {
	h.mu.Lock()
	defer h.mu.Unlock()
	var places []feedPlace
	now := h.Timer.Now()
	for _, e := range h.registry.Present() {
		if len(e.Weights) > 0 && now.Sub(e.HeardAt) < h.ReportSilence {
			places = append(places, feedPlace{place: holding.Place(e.ID), id: e.ID, born: e.Born, address: e.Address})
		}
	}
	if h.page.Version == 0 {
		return places
	}
	if h.storeOf != h.page.Version {
		h.storeOf, h.store = h.page.Version, storeAddress(h.page.Table)
	}
	if h.store != "" {
		places = append(places, feedPlace{place: holding.Place(h.store), address: h.store})
	}
	return places
}

// storeAddress returns the address of the table's store. A table that can't be read was refused when it was submitted.
func storeAddress(encoded []byte) string {
	var t table.Table
	if err := codec.Unmarshal(encoded, &t); err != nil {
		return ""
	}
	if s := t.Store(); s != nil {
		return s.Address
	}
	return ""
}

// follows reports whether this host is the one that follows a place, by rendezvous hashing over the control hosts that are
// heard.
func (h *Hub) follows(place holding.Place) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Timer.Now()
	own := followWeight(h.Name, place)
	for name, other := range h.others {
		if now.Sub(other.at) < forgottenAfter && followWeight(name, place) > own {
			return false
		}
	}
	return true
}

func followWeight(name unit.HostName, place holding.Place) uint64 {
	return xxhash.Sum64String(string(name) + "\x00" + string(place))
}

// read follows the events of one place until ctx ends.
func (h *Hub) read(ctx context.Context, place feedPlace) {
	var since, epoch uint64
	failures := 0
	for ctx.Err() == nil {
		question, cancel := context.WithTimeout(ctx, feedTimeout)
		feed, err := h.Engines.Events(question, place.id, place.address, since, feedWait)
		cancel()
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			failures++
			if failures == feedFailures {
				h.forget(place, err)
			}
			asked, _ := fault.RetryAfterOf(err) // 0 if the place didn't ask for a pause
			timer.Sleep(ctx, max(feedRetry, min(asked, mostFeedPause)))
			continue
		}
		cleared := since == 0 || feed.Epoch != epoch || feed.Lost || failures >= feedFailures
		failures = 0
		if cleared {
			h.Log.Info("events-followed", "place", string(place.place), "epoch", feed.Epoch, "since", since, "next", feed.Next,
				"events", len(feed.Events), "lost", feed.Lost)
		}
		since, epoch = feed.Next, feed.Epoch
		if feed.Leaves && place.id != "" {
			h.mu.Lock()
			h.hearLeaving(registry.Lifetime{Endpoint: place.id, Born: place.born}, string(place.id))
			h.mu.Unlock()
		}
		h.held(place.place, cleared, feed.Events)
		timer.Sleep(ctx, pauseBetween(int(h.following.Load())))
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shared.Forget(place.place)
	h.own.Forget(place.place)
	h.settle(place.place)
}

// pauseBetween is the pause between two questions to a place where so many places are followed.
func pauseBetween(places int) time.Duration {
	return max(feedPause, time.Duration(places)*time.Second/feedRate)
}

func (h *Hub) forget(place feedPlace, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.own.Known(place.place) {
		h.Log.Warn("events-lost", "place", string(place.place), "cause", err.Error())
	}
	h.shared.Forget(place.place)
	h.own.Forget(place.place)
	h.settle(place.place)
}

// held applies events in their order.
func (h *Hub) held(place holding.Place, cleared bool, events []FeedEvent) {
	passed := make([]sharing.Event, 0, len(events))
	for _, event := range events {
		passed = append(passed, sharing.Event{Removed: event.Removed, Name: sharing.NewName(event.Part), Part: holding.NewPart(event.CacheKey, event.Part)})
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.publish(h.shared.Pass(place, cleared, passed))
}

// publish applies a change at a place that this host follows. The lock must be held.
func (h *Hub) publish(change holding.Change) {
	h.own.Apply([]holding.Change{change})
	h.apply(h.Name, change)
}

// mergeHoldings takes what another control host follows. The lock must be held, as for the functions below.
func (h *Hub) mergeHoldings(from unit.HostName, update holding.Update) {
	mirror := h.mirrors[from]
	if mirror == nil {
		mirror = holding.New()
		h.mirrors[from] = mirror
	}
	before := mirror.Places()
	for _, change := range mirror.Merge(update) {
		h.apply(from, change)
	}
	if update.Whole {
		for _, place := range before {
			h.settle(place)
		}
	}
}

// apply passes a change on if it comes from the host whose account of the place counts.
func (h *Hub) apply(from unit.HostName, change holding.Change) {
	before := h.owners[change.Place]
	h.settle(change.Place)
	if before == from && h.owners[change.Place] == before {
		h.holdings.Apply([]holding.Change{change})
	}
}

// settle decides whose account of a place counts, as two hosts may follow it while they don't hear each other. After a
// change the new host's account replaces the former one.
func (h *Hub) settle(place holding.Place) {
	owner, account := unit.HostName(""), (*holding.Map)(nil)
	if h.own.Known(place) {
		owner, account = h.Name, h.own
	}
	for name, mirror := range h.mirrors {
		if mirror.Known(place) && (owner == "" || followWeight(name, place) > followWeight(owner, place)) {
			owner, account = name, mirror
		}
	}
	if owner == h.owners[place] {
		return
	}
	if owner == "" {
		delete(h.owners, place)
		h.holdings.Forget(place)
		return
	}
	h.owners[place] = owner
	h.holdings.Apply([]holding.Change{{Place: place, Cleared: true, Added: account.Parts(place)}})
}

// forgetSilent drops the accounts of control hosts that aren't heard any more.
func (h *Hub) forgetSilent(now unit.Moment) {
	for name, mirror := range h.mirrors {
		if now.Sub(h.others[name].at) < forgottenAfter {
			continue
		}
		delete(h.mirrors, name)
		h.forgetRead(name)
		for _, place := range mirror.Places() {
			h.settle(place)
		}
	}
}

// forgetRead makes a control host send its whole account again.
func (h *Hub) forgetRead(name unit.HostName) {
	other := h.others[name]
	other.read = 0
	h.others[name] = other
}
