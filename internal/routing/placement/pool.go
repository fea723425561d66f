package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/endpoint"
)

// loadInterval is the minimum time between computations of a pool's mean load; load reports arrive every 500 ms.
const loadInterval = 100 * time.Millisecond

// usageSmoothing is the time over which the usage of slots is averaged, so that widths don't follow short bursts.
const usageSmoothing = 3 * time.Second

// targetUsage is the fraction of the slots or of the prefill time in use above which all replicas are needed. It leaves
// room for bursts.
const targetUsage = 0.6

type poolKey struct {
	kind endpoint.Kind
	name string
}

// pool holds the endpoints that may currently serve a model or service, split by weights version.
type pool struct {
	sliceStart **endpoint.Entry // first element of the roster's slice that the pool was built from, to detect changes
	length     int
	entries    []*endpoint.Entry
	versions   []versionPool
	load       poolLoad
}

// poolLoad is the mean load of a pool's endpoints.
type poolLoad struct {
	mean  float64 // mean number of requests per endpoint
	usage float64 // requests per slot, averaged over usageSmoothing
	at    unit.Moment
	known bool
}

// versionPool holds the endpoints of a pool that serve the same weights version.
type versionPool struct {
	weights       unit.WeightsVersion
	totalKey      uint64 // key of the version's total request count in the table of levels
	endpointsHash uint64 // sum of the hashes of all endpoints, to detect changes
	entries       []*endpoint.Entry
	hashes        []uint64 // rendezvous hash of each entry's id
	position      map[unit.EndpointID]int32
}

// poolFor returns the pool, rebuilt if the roster or the guard returned another slice than last time.
func (p *Placer) poolFor(key poolKey, usable []*endpoint.Entry) *pool {
	known, ok := p.pools[key]
	if ok && known.sliceStart == &usable[0] && known.length == len(usable) {
		return known
	}
	built := &pool{sliceStart: &usable[0], length: len(usable), entries: withoutLoading(usable)}
	if ok {
		built.load = known.load
	}
	for _, e := range built.entries {
		v := built.versionFor(key, e.Weights)
		v.position[e.Endpoint] = int32(len(v.entries))
		v.entries = append(v.entries, e)
		hash := xxhash.Sum64String(string(e.Endpoint))
		v.hashes = append(v.hashes, hash)
		// The sum doesn't depend on the order, so the same set of endpoints always has the same hash.
		v.endpointsHash += mix(hash)
	}
	p.pools[key] = built
	return built
}

// withoutLoading removes endpoints that are loading weights, unless all of them are.
func withoutLoading(usable []*endpoint.Entry) []*endpoint.Entry {
	ready := make([]*endpoint.Entry, 0, len(usable))
	for _, e := range usable {
		if !e.Loading {
			ready = append(ready, e)
		}
	}
	if len(ready) == 0 {
		return usable
	}
	return ready
}

func (p *pool) versionFor(key poolKey, weights unit.WeightsVersion) *versionPool {
	for i := range p.versions {
		if p.versions[i].weights == weights {
			return &p.versions[i]
		}
	}
	name := string(key.kind) + "\x00" + key.name + "\x00" + string(weights)
	p.versions = append(p.versions, versionPool{
		weights:  weights,
		totalKey: xxhash.Sum64String(name),
		position: map[unit.EndpointID]int32{},
	})
	return &p.versions[len(p.versions)-1]
}

// refreshLoad recomputes the pool's load if it is older than loadInterval.
func (p *pool) refreshLoad(now unit.Moment) {
	if p.load.known && now.Sub(p.load.at) < loadInterval {
		return
	}
	requests, slots := 0, 0
	for _, e := range p.entries {
		requests += e.Occupancy()
		slots += max(e.Slots, 1)
	}
	usage := float64(requests) / float64(slots)
	if p.load.known {
		part := min(float64(now.Sub(p.load.at))/float64(usageSmoothing), 1)
		usage = p.load.usage + part*(usage-p.load.usage)
	}
	p.load = poolLoad{mean: float64(requests) / float64(len(p.entries)), usage: usage, at: now, known: true}
}

// overloadBound returns the occupancy above which an endpoint is overloaded: 1.5 times the mean plus two requests.
// Without this bound, a wrong cost estimate or an old load report could send all requests to one home.
func (l *poolLoad) overloadBound() float64 {
	return 1.5*l.mean + 2
}

// neededFraction returns the fraction of the replicas that should share the load so that each uses targetUsage of its
// slots. At low load fewer homes are better, since each additional one computes the same prefix again.
func (l *poolLoad) neededFraction(busy float64) float64 {
	return min(max(l.usage, busy)/targetUsage, 1)
}

// mix is the finalizer of splitmix64: each bit of the result depends on every bit of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
