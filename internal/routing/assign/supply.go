package assign

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/book"
	"github.com/citronglade/citronglade/internal/routing/holding"
)

const (
	// fetchLeast is the number of tokens from which fetching them is worth the trouble.
	fetchLeast unit.Tokens = 48
	// fetchSetup is the time that a fetch takes beside its bytes.
	fetchSetup = 8 * time.Millisecond
	// eventLag is how long after a request was sent the events of its parts may still be on their way.
	eventLag = 800 * time.Millisecond
	// farFactor is how much longer a fetch takes from another data centre.
	farFactor = 2
	// The chance that parts are found where they are looked for: where this host sent them, at the home of the prompt, at
	// the next home, and in the store.
	sentShare, homeShare, nextHomeShare, storeShare = 0.9, 0.6, 0.15, 0.9
)

// homes ranks the endpoints for one prompt by rendezvous hashing. Every host finds the same order without being told, and an
// endpoint that comes or goes moves only the prompts that it is the home of. Replicas with other weights can't share parts,
// so they are ranked apart.
type homes struct {
	ranks []int // by position among the candidates
	order []int // positions by rank
}

// homes returns an empty order for work without a prompt.
func (a *Assigner) homes(now unit.Moment, w *Work, candidates []*replica) homes {
	home, ok := w.home()
	if !ok {
		return homes{}
	}
	weights := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(home))
	for i, r := range candidates {
		hash := xxhash.New()
		_, _ = hash.Write(buffer[:])
		_, _ = hash.WriteString(string(r.ID))
		weights[i], order[i] = hash.Sum64(), i
	}
	slices.SortFunc(order, func(i, j int) int { return cmp.Compare(weights[j], weights[i]) })
	h := homes{ranks: make([]int, len(candidates)), order: order}
	next := map[book.WeightsNumber]int{}
	for _, i := range order {
		r := candidates[i]
		h.ranks[i] = next[r.weights(w.Model)]
		if a.reachable(now, r) {
			next[r.weights(w.Model)]++
		}
	}
	return h
}

func (h homes) rank(i int) int {
	if i < len(h.ranks) {
		return h.ranks[i]
	}
	return 0
}

// reachable reports whether the endpoint is expected to answer at all.
func (a *Assigner) reachable(now unit.Moment, r *replica) bool {
	return !r.Draining && r.pausedUntil <= now && now.Sub(r.heardAt) <= a.settings.ReportSilence
}

// supply says where an endpoint gets the parts of a prompt.
type supply struct {
	missing  unit.Tokens   // expected to be read
	again    unit.Tokens   // shared ones among these
	fetching time.Duration // expected until fetched parts are there
	source   string
	save     string
}

// held returns how many of the prompt's first parts the endpoint holds, and whether events tell so. What was sent there
// after the moment since counts although no event has told of it yet: it will be there once the endpoint has read it.
func (a *Assigner) held(r *replica, w *Work, since unit.Moment) (held int, told bool) {
	place := holding.Place(r.ID)
	if !a.holdings.Known(place) {
		return r.cached.held(w, 0), false
	}
	for i, part := range w.partsAt(r.weights(w.Model)) {
		if !a.holdings.Holds(place, part) && !r.cached.has(w, i, since) {
			return i, true
		}
	}
	return len(w.Parts), true
}

// supply decides from where the endpoint at position i fetches the shared parts that it doesn't hold.
func (a *Assigner) supply(now unit.Moment, r *replica, w *Work, h homes, i int) supply {
	if !w.Prompted || r.engine == nil {
		return supply{}
	}
	held, told := a.held(r, w, now.Add(-eventLag))
	shared := max(len(w.Parts)-1, 0)
	s := supply{missing: w.unread(held)}
	lacking := s.missing - w.unread(shared)
	if held >= shared && shared > 0 {
		// Parts may be evicted while the request waits. Naming a source for parts that are there costs nothing.
		if a.storeHolds(r, w, shared-1) {
			s.source = a.store.Address
		} else {
			a.findSource(now, r, w, h, 0, &s)
		}
		return s
	}
	if lacking < fetchLeast {
		return s
	}
	share := 0.0
	if !told {
		share = holdsShare(h.rank(i))
	}
	found, far := a.findSource(now, r, w, h, held, &s)
	if s.source != "" {
		s.fetching = time.Duration((1 - share) * found * float64(a.fetchTime(r, lacking, far)))
		share = 1 - (1-share)*(1-found)
	} else if a.store != nil && a.holdings.Known(holding.Place(a.store.Address)) {
		s.save = a.store.Address
	}
	s.again = unit.Tokens((1 - share) * float64(lacking))
	s.missing -= lacking - s.again
	return s
}

// holdsShare is the chance that the endpoint of that rank among a prompt's homes holds its shared parts because other hosts
// sent requests there.
func holdsShare(rank int) float64 {
	switch rank {
	case 0:
		return homeShare
	case 1:
		return nextHomeShare
	default:
		return 0
	}
}

// findSource looks for a replica with the same weights that holds more of the shared parts than the endpoint, then for a
// store that does. The store's one link serves all, so it comes last. Where no events tell, the prompt's home is asked. It
// returns the chance that the parts are there.
func (a *Assigner) findSource(now unit.Moment, r *replica, w *Work, h homes, held int, s *supply) (found float64, far bool) {
	candidates := a.services[w.Service]
	shared := len(w.Parts) - 1
	var home *replica
	most := held
	for _, i := range h.order {
		other := candidates[i]
		if other == r || other.weights(w.Model) != r.weights(w.Model) || !a.reachable(now, other) {
			continue
		}
		holds, told := a.held(other, w, unit.Never) // parts that are still being read can't be fetched
		holds = min(holds, shared)
		if near := other.DataCentre == r.DataCentre; holds > most || holds == most && far && near && s.source != "" {
			most, s.source, found, far = holds, other.Address, sentShare, !near
		}
		if home == nil && !told && h.ranks[i] == 0 {
			home = other
		}
	}
	if most < shared && a.storeHolds(r, w, most) {
		s.source = a.store.Address
		return storeShare, true
	}
	if s.source == "" && home != nil {
		s.source = home.Address
		return homeShare, home.DataCentre != r.DataCentre
	}
	return found, far
}

// storeHolds reports whether the store holds more than so many of the prompt's first parts.
func (a *Assigner) storeHolds(r *replica, w *Work, held int) bool {
	if a.store == nil {
		return false
	}
	place := holding.Place(a.store.Address)
	for _, part := range w.partsAt(r.weights(w.Model))[:held+1] {
		if !a.holdings.Holds(place, part) {
			return false
		}
	}
	return true
}

func (a *Assigner) fetchTime(r *replica, tokens unit.Tokens, far bool) time.Duration {
	if r.engine.LinkBytes <= 0 {
		return fetchSetup
	}
	seconds := float64(tokens) * r.engine.TokenBytes / r.engine.LinkBytes
	if far {
		seconds *= farFactor
	}
	return fetchSetup + time.Duration(seconds*float64(time.Second))
}
