package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	// maxLevels limits the number of nesting levels whose load is remembered. A level that was evicted starts again
	// with the minimum width, which only the most popular levels exceed.
	maxLevels = 8192
	// levelHalfLife is the half-life of a level's request count. Popular prefixes change within seconds, and the widths
	// must follow within 30 s.
	levelHalfLife = 5 * time.Second
	// minInnerWidth is the minimum number of homes of the innermost level: each additional home computes the prefix
	// once more.
	minInnerWidth = 1
	// minOuterWidth is the minimum number of homes of a level that contains other levels, so that prompts with the same
	// system prompt have an alternative home when one replica is lost or full.
	minOuterWidth = 2
	// headroom is the factor by which a level's share of the replicas exceeds its share of the load.
	headroom = 1.25
	// narrowThreshold is the ratio of wanted to present width below which a level gets narrower, once the ratio has
	// been that low for narrowDelay. At ratios between narrowThreshold and 1 the width doesn't change, so that noise
	// doesn't move homes back and forth.
	narrowThreshold = 0.5
	narrowDelay     = 10 * time.Second
	// minWidenCount is the minimum number of recent requests for a level to be widened.
	minWidenCount = 8
	// confidenceDeviations is the number of standard deviations by which a request count is taken as uncertain. With 1,
	// some of a dozen equally popular prefixes were widened by chance in the first second after a start.
	confidenceDeviations = 2
)

// unknownMoment marks a restored level, whose count decays only from its first use on: the times of different hosts
// can't be compared.
const unknownMoment = unit.Moment(-1)

// levelState is the recent load of a nesting level and the homes that are computed from it.
type levelState struct {
	count float64 // recent requests, decayed
	at    unit.Moment
	width int
	// narrowSince is the time since which the level's load calls for a smaller width, unit.Never if it doesn't.
	narrowSince unit.Moment

	homesKey uint64 // hash of the inputs that homes was computed from
	homes    []int32
}

// levelTable is an LRU table of levels, keyed by the first 8 bytes of their digest.
type levelTable struct {
	table *simplelru.LRU[uint64, *levelState]
}

func newLevelTable() *levelTable {
	table, err := simplelru.NewLRU[uint64, *levelState](maxLevels, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &levelTable{table: table}
}

func levelKey(d unit.Digest) uint64 {
	return binary.BigEndian.Uint64(d[:8])
}

// countRequest counts a request of the level and returns the level's state.
func (l *levelTable) countRequest(now unit.Moment, key uint64) *levelState {
	found, ok := l.table.Get(key)
	if !ok {
		found = &levelState{at: now, narrowSince: unit.Never}
		l.table.Add(key, found)
	}
	found.decay(now)
	found.count++
	return found
}

func (l *levelState) decay(now unit.Moment) {
	if l.at != unknownMoment && now > l.at {
		l.count *= math.Exp2(-float64(now.Sub(l.at)) / float64(levelHalfLife))
	}
	l.at = now
}

// adjustWidth updates and returns the number of homes: the level's share of all requests, times the number of replicas
// that are needed for all of them. Both are ratios, so each entry host finds about the same width from its own part of
// the traffic. A count has a standard deviation of its square root; the width only grows as far as the lower estimate
// and only shrinks as far as the upper one.
func (l *levelState) adjustWidth(now unit.Moment, totalCount, neededFraction float64, replicas, minWidth int) int {
	minWidth = min(minWidth, replicas)
	l.width = max(l.width, minWidth)
	deviation := confidenceDeviations * math.Sqrt(l.count)
	scale := headroom * neededFraction * float64(replicas) / max(totalCount, 1)
	lower, upper := (l.count-deviation)*scale, (l.count+deviation)*scale
	if upper >= narrowThreshold*float64(l.width) || l.width == minWidth {
		l.narrowSince = unit.Never
	} else {
		l.narrowSince = min(l.narrowSince, now)
	}
	switch {
	case l.count >= minWidenCount && lower > float64(l.width):
		l.width = min(roundUpWidth(lower), replicas)
	case l.narrowSince != unit.Never && now.Sub(l.narrowSince) >= narrowDelay:
		l.width, l.narrowSince = max(roundUpWidth(upper), minWidth), unit.Never
	}
	return min(l.width, replicas)
}

// roundUpWidth rounds up to one of 1, 2, 3, 4, 6, 8, 12, 16 and so on. Hosts estimate the same share slightly
// differently, and each difference in width moves some of the homes of inner levels; coarse steps make such differences
// rare.
func roundUpWidth(wanted float64) int {
	step := 1
	for float64(step) < wanted {
		switch {
		case step < 4:
			step++
		case step&(step-1) == 0:
			step += step / 2
		default:
			step += step / 3
		}
	}
	return step
}
