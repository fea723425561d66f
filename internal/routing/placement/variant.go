package placement

import (
	"github.com/citronglade/citronglade/internal/base/fault"
)

// Variant is one way to place requests.
type Variant struct {
	Name, Usage string
	New         func(Dependencies) *Placer
}

// Variants lists all variants, the default first.
var Variants = []Variant{
	{
		Name:  "warm",
		Usage: "nested rendezvous homes, corrected by observed caches and load (default)",
		New:   func(d Dependencies) *Placer { return newPlacer(d, (*Placer).placeWarm) },
	},
	{
		Name:  "round-robin",
		Usage: "each usable endpoint in turn",
		New:   func(d Dependencies) *Placer { return newPlacer(d, (*Placer).placeRoundRobin) },
	},
	{
		Name:  "least-loaded",
		Usage: "the endpoint with the fewest requests for each slot",
		New:   func(d Dependencies) *Placer { return newPlacer(d, (*Placer).placeLeastLoaded) },
	},
	{
		Name:  "consistent-hash",
		Usage: "the endpoint with the highest hash on the first piece of the prompt",
		New:   func(d Dependencies) *Placer { return newPlacer(d, (*Placer).placeConsistentHash) },
	},
}

// New returns a placer of the named variant. It fails with fault.BadSetting for an unknown name.
func New(variant string, d Dependencies) (*Placer, error) {
	for _, v := range Variants {
		if v.Name == variant {
			return v.New(d), nil
		}
	}
	return nil, fault.BadSetting.New("placement variant %q is unknown", variant)
}
