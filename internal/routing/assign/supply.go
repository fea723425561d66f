package assign

import (
	"cmp"
	"encoding/binary"
	"math"
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
	// The chance that parts are found where no event tells of them: at the home of the prompt and at the next home.
	homeShare, nextHomeShare = 0.6, 0.15
	// toldShare is the chance that parts are there of which an event has just told. A few events are lost.
	toldShare = 0.95
	// farShare prefers a source in the same data centre.
	farShare = 0.97
	// mostSources is the number of sources that are weighed for each endpoint.
	mostSources = 6
	// storeLoad is the part of its link that fetches from the store may take.
	storeLoad = 0.5
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
	return r.takes(now) && r.pausedUntil <= now && now.Sub(r.heardAt) <= a.settings.ReportSilence
}

// stock is what one endpoint is believed to hold of a prompt.
type stock struct {
	told     bool    // by events
	held     int     // first parts that are there, or will be once what was sent there has been read
	readable int     // first parts that others can fetch
	loss     float64 // part of what it holds that it drops in a second
}

// stays is the chance that a part is still there after that time.
func (s stock) stays(after time.Duration) float64 {
	if !s.told {
		return 1
	}
	return toldShare * math.Exp(-s.loss*(after+eventLag/2).Seconds())
}

// stocks returns what each candidate holds. What was sent there lately counts although no event has told of it yet.
func (a *Assigner) stocks(now unit.Moment, w *Work, candidates []*replica) []stock {
	if !w.Prompted {
		return nil
	}
	stocks := make([]stock, len(candidates))
	for i, r := range candidates {
		s, place := &stocks[i], holding.Place(r.ID)
		if s.told = a.holdings.Known(place); !s.told {
			s.held = r.cached.held(w, 0)
			s.readable = s.held
			continue
		}
		s.loss = a.turnover.rate(now, place, a.holdings.Count(place))
		for j, part := range w.partsAt(r.weights(w.Model)) {
			holds := a.holdings.Holds(place, part)
			if !holds && !r.cached.has(w, j, now.Add(-eventLag)) {
				break
			}
			if holds && s.readable == j {
				s.readable++
			}
			s.held++
		}
	}
	return stocks
}

// prospect is what a choice knows of all candidates, by their position.
type prospect struct {
	homes   homes
	stocks  []stock
	sources map[book.WeightsNumber][]int
	loads   []Load
	room    []float64 // of a plain service
	pace    pace
}

func (a *Assigner) prospect(now unit.Moment, w *Work, candidates []*replica) *prospect {
	p := &prospect{homes: a.homes(now, w, candidates), stocks: a.stocks(now, w, candidates), pace: a.pace(w.Service)}
	p.sources = a.sources(now, w, candidates, p)
	p.loads = a.loads(now, w, candidates, p.pace)
	if !w.Prompted {
		p.room = a.room(now, w, candidates, p.loads)
	}
	return p
}

// supply says where an endpoint gets the shared parts of a prompt.
type supply struct {
	missing  unit.Tokens   // expected to be read
	again    unit.Tokens   // shared ones among these
	copied   unit.Tokens   // shared ones that are expected to be fetched
	fetching time.Duration // expected until fetched parts are there
	source   string
	save     string
}

// supply decides from where the endpoint at position i fetches shared parts that it doesn't hold, or holds no more when the
// request begins there after its wait.
func (a *Assigner) supply(now unit.Moment, r *replica, w *Work, p *prospect, i int, wait time.Duration) supply {
	if !w.Prompted || r.engine == nil {
		return supply{}
	}
	shared := max(len(w.Parts)-1, 0)
	own := p.stocks[i]
	s := supply{missing: w.unread(shared)}
	all := w.unread(0) - s.missing
	kept := w.unread(0) - w.unread(min(own.held, shared))
	lacking := float64(all - kept)
	if !own.told {
		lacking *= 1 - holdsShare(p.homes.rank(i))
	}
	lost := lacking + (1-own.stays(wait))*float64(kept)
	found := 0.0
	if all >= fetchLeast {
		var far bool
		s.source, found, far = a.source(now, r, w, p, min(own.held, shared), wait)
		if s.source != "" {
			s.copied = unit.Tokens(found * lost)
			s.fetching = time.Duration(found * lost / float64(all) * float64(a.fetchTime(r, all, far)))
		} else if a.store != nil && a.holdings.Known(holding.Place(a.store.Address)) && lacking > 0 {
			s.save = a.store.Address
		}
	}
	s.again = unit.Tokens((1 - found) * lost)
	s.missing += s.again
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

// sources returns the positions of the candidates from which most of the shared parts can be expected, the best first, by their
// weights. It leaves out the wait that will pass, which is that of the endpoint which fetches.
func (a *Assigner) sources(now unit.Moment, w *Work, candidates []*replica, p *prospect) map[book.WeightsNumber][]int {
	if len(w.Parts) < 2 {
		return nil
	}
	best := map[book.WeightsNumber][]int{}
	for _, i := range p.homes.order {
		share := p.share(w, i, 0)
		if share == 0 || !a.reachable(now, candidates[i]) {
			continue
		}
		number := candidates[i].weights(w.Model)
		known := best[number]
		at := len(known)
		for at > 0 && p.share(w, known[at-1], 0) < share {
			at--
		}
		if at < mostSources {
			known = slices.Insert(known, at, i)
			best[number] = known[:min(len(known), mostSources)]
		}
	}
	return best
}

// share is the part of the shared tokens that the candidate at position i is expected to hold after that time. Where no events
// tell, that is the prompt's home.
func (p *prospect) share(w *Work, i int, after time.Duration) float64 {
	shared, s := len(w.Parts)-1, p.stocks[i]
	readable, chance := min(s.readable, shared), s.stays(after)
	if !s.told && p.homes.ranks[i] == 0 && readable < shared {
		readable, chance = shared, homeShare
	}
	return chance * float64(w.unread(0)-w.unread(readable)) / float64(max(w.unread(0)-w.unread(shared), 1))
}

// source returns the replica with the same weights, or the store, from which most of the shared parts can be expected, more
// than the endpoint holds itself. It returns the part of them that is expected to be found.
func (a *Assigner) source(now unit.Moment, r *replica, w *Work, p *prospect, held int, wait time.Duration) (address string, found float64, far bool) {
	shared := len(w.Parts) - 1
	least := min(held+1, shared) // a second place for all of them helps if they are dropped meanwhile
	for _, i := range p.sources[r.weights(w.Model)] {
		other := a.services[w.Service][i]
		if other == r || p.stocks[i].told && p.stocks[i].readable < least {
			continue
		}
		share := p.share(w, i, wait)
		if other.DataCentre != r.DataCentre {
			share *= farShare
		}
		if share > found {
			address, found, far = other.Address, share, other.DataCentre != r.DataCentre
		}
	}
	if a.store != nil && a.storeHolds(r, w, shared-1) && a.storeFree(now) {
		place := holding.Place(a.store.Address)
		in := stock{told: true, loss: a.turnover.rate(now, place, a.holdings.Count(place))}
		if share := farShare * in.stays(wait); share > found {
			return a.store.Address, share, true
		}
	}
	return address, found, far
}

// storeFree reports whether the store's link, which all engines share, has room for another fetch. Other hosts are expected
// to fetch as much as this one.
func (a *Assigner) storeFree(now unit.Moment) bool {
	if a.store.LinkBytes <= 0 {
		return true
	}
	return a.storeFetches.rate(now)*float64(a.hosts) < storeLoad*a.store.LinkBytes
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
