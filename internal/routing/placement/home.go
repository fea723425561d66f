package placement

import (
	"cmp"
	"slices"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/prefix"
)

// maxRequestLevels limits the number of nesting levels of a prompt that homes are chosen for. Of a prompt with more
// levels, the outer ones and the innermost one are kept.
const maxRequestLevels = 4

// levelHomes is a nesting level of a request together with its homes, the endpoints that preferably serve and cache
// prompts of this level. Homes are positions in versionPool.entries, best first.
type levelHomes struct {
	pieces int
	homes  []int32
}

// requestLevels holds the levels of one request, outermost first.
type requestLevels struct {
	list  [maxRequestLevels]levelHomes
	count int
}

// homeLevels returns the levels that homes are chosen for, as numbers of pieces. A prompt with a single message has one
// level; its first piece is added as an outer level, since prompts that share only a part of the message would
// otherwise have unrelated homes.
func homeLevels(c prefix.Chain) (pieces [maxRequestLevels]int, count int) {
	if len(c.Levels) == 1 && c.Levels[0].Pieces > 1 {
		return [maxRequestLevels]int{1, c.Levels[0].Pieces}, 2
	}
	for i, l := range c.Levels {
		if i >= maxRequestLevels-1 && i < len(c.Levels)-1 {
			continue
		}
		pieces[count] = l.Pieces
		count++
	}
	return pieces, count
}

// requestLevelsFor counts the request at each of its levels and returns the levels with their homes. The homes of a
// level are chosen among those of the next outer level, by rendezvous weight on the level's digest.
func (p *Placer) requestLevelsFor(now unit.Moment, v *versionPool, c prefix.Chain, neededFraction float64) requestLevels {
	pieces, count := homeLevels(c)
	totalCount := p.levels.countRequest(now, v.totalKey).count
	levels := requestLevels{count: count}
	homesKey := v.endpointsHash
	var outerHomes []int32
	for i := range count {
		key := levelKey(c.Digests[pieces[i]-1])
		l := p.levels.countRequest(now, key)
		minWidth := minOuterWidth
		if i == count-1 {
			minWidth = minInnerWidth
		}
		width := l.adjustWidth(now, totalCount, neededFraction, len(v.entries), minWidth)
		if i > 0 {
			width = min(width, len(outerHomes))
		}
		homesKey = mix(homesKey ^ uint64(width)*0x9e3779b97f4a7c15)
		if l.homesKey != homesKey || len(l.homes) != width {
			l.homesKey, l.homes = homesKey, v.rendezvous(key, outerHomes, i == 0, width)
		}
		outerHomes = l.homes
		levels.list[i] = levelHomes{pieces: pieces[i], homes: outerHomes}
	}
	return levels
}

type weightedEntry struct {
	weight uint64
	at     int32
}

// rendezvous returns the positions of the width entries with the highest rendezvous weight, best first. It chooses
// among the given positions, or among all entries if all is set.
func (v *versionPool) rendezvous(key uint64, among []int32, all bool, width int) []int32 {
	length := len(among)
	if all {
		length = len(v.entries)
	}
	best := make([]weightedEntry, 0, min(width, length)+1)
	for i := range length {
		at := int32(i)
		if !all {
			at = among[i]
		}
		w := weightedEntry{mix(key ^ v.hashes[at]), at}
		if len(best) == width && compareWeights(w, best[width-1]) >= 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(best, w, compareWeights)
		best = slices.Insert(best, position, w)
		best = best[:min(len(best), width)]
	}
	homes := make([]int32, len(best))
	for i := range best {
		homes[i] = best[i].at
	}
	return homes
}

func compareWeights(a, b weightedEntry) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.at, b.at))
}
