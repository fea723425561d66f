// Package versionage keeps track of how long ago versions of models' weights were named. Hosts tell each other ages instead of times,
// because their clocks differ.
package versionage

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/control/decisions"
)

const (
	// maxVersions is the number of versions of one model that are kept.
	maxVersions = 32
	// toldAge is the age from which a version is only told to other hosts if it is the model's newest one that is so old.
	toldAge = time.Minute
	// unknownAge is the age of versions of which no host has told one.
	unknownAge = time.Hour
	// resolution is the difference below which another host's age isn't taken for news.
	resolution = 10 * time.Millisecond
)

// Age is a version and how long ago it was named.
type Age struct {
	_       struct{} `cbor:",toarray"`
	Version decisions.WeightsNumber
	Age     time.Duration
}

// Ages holds versions of each model, sorted.
type Ages map[unit.ModelName][]Age

// naming is a version and the latest moment at which it can have been named.
type naming struct {
	version decisions.WeightsNumber
	at      unit.Moment
	assumed bool // at isn't known; the version counts as named long ago
}

// History holds the latest versions of each model. It isn't safe for concurrent use.
type History struct {
	models map[unit.ModelName][]naming // sorted by version
	number uint64
}

// New returns a history without versions.
func New() *History {
	return &History{models: map[unit.ModelName][]naming{}, number: 1}
}

// Number returns a number that grows with each change. It is never 0.
func (h *History) Number() uint64 {
	return h.number
}

// Learn records versions that this host learns of at the given moment, unless it knows them.
func (h *History) Learn(at unit.Moment, newest map[unit.ModelName]decisions.WeightsNumber) {
	for model, version := range newest {
		h.add(model, naming{version: version, at: at})
	}
}

// Assume records versions that may have been named any time ago, unless they are known.
func (h *History) Assume(newest map[unit.ModelName]decisions.WeightsNumber) {
	for model, version := range newest {
		h.add(model, naming{version: version, assumed: true})
	}
}

// Merge records what another host said at the given moment. Of two ages of a version, the larger one is right, because no host learns of a
// version before it is named.
func (h *History) Merge(at unit.Moment, ages Ages) {
	for model, versions := range ages {
		for _, age := range versions {
			h.merge(model, naming{version: age.Version, at: at.Add(-age.Age)})
		}
	}
}

func (h *History) merge(model unit.ModelName, told naming) {
	versions := h.models[model]
	i, known := find(versions, told.version)
	switch {
	case !known:
		h.add(model, told)
	case versions[i].assumed || versions[i].at.Sub(told.at) > resolution:
		versions[i] = told
		h.number++
	}
}

func (h *History) add(model unit.ModelName, n naming) {
	versions := h.models[model]
	i, known := find(versions, n.version)
	if known {
		return
	}
	h.number++
	versions = slices.Insert(versions, i, n)
	if len(versions) > maxVersions {
		// What the first version has replaced must not seem to have been replaced later than it was.
		if first := versions[0]; first.assumed || !versions[1].assumed && first.at < versions[1].at {
			versions[1].at, versions[1].assumed = first.at, first.assumed
		}
		versions = slices.Delete(versions, 0, 1)
	}
	h.models[model] = versions
}

func find(versions []naming, version decisions.WeightsNumber) (int, bool) {
	return slices.BinarySearchFunc(versions, version, func(n naming, version decisions.WeightsNumber) int { return cmp.Compare(n.version, version) })
}

// Ages returns the known ages of the versions, without those that other hosts don't need.
func (h *History) Ages(now unit.Moment) Ages {
	told := Ages{}
	for model, versions := range h.models {
		for _, n := range versions {
			if n.assumed {
				continue
			}
			if now.Sub(n.at) >= toldAge {
				told[model] = nil // whatever an older version has replaced has been replaced for that long, too
			}
			told[model] = append(told[model], Age{Version: n.version, Age: now.Sub(n.at)})
		}
	}
	return told
}

// SinceReplaced returns how long ago the first version newer than the given one was named, false if there is none. Later versions
// don't matter: they don't make the given version any newer.
func (h *History) SinceReplaced(now unit.Moment, model unit.ModelName, version decisions.WeightsNumber) (time.Duration, bool) {
	age, replaced := time.Duration(0), false
	for _, n := range h.models[model] {
		if n.version <= version {
			continue
		}
		replaced = true
		if n.assumed {
			return unknownAge, true
		}
		age = max(age, now.Sub(n.at))
	}
	return age, replaced
}
