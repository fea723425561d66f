package streamorigin

import (
	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// Query asks a control host where a stream began.
type Query struct {
	ID      ID                `cbor:"1,keyasint"` // 0 if the caller named no request
	Service table.ServiceName `cbor:"2,keyasint"` // that gets the requests of the stream's route now
}

// Answer is a control host's answer to a Query.
type Answer struct {
	// Found is set if the host has a record of the stream; Origin is what it says.
	Found  bool   `cbor:"1,keyasint,omitempty"`
	Origin Origin `cbor:"2,keyasint"`
	// Uniform is set if no records were needed within Retention, because each service ran a single software version and no route
	// changed. Software is the version of the service in the query. Mixed is set if records were needed. Neither is set if the host
	// hasn't run for that long.
	Uniform  bool                 `cbor:"3,keyasint,omitempty"`
	Software unit.SoftwareVersion `cbor:"4,keyasint,omitempty"`
	Mixed    bool                 `cbor:"5,keyasint,omitempty"`
	// Leads is set if the host leads the control hosts by a valid lease, so that it isn't cut off from most of them.
	Leads bool `cbor:"6,keyasint,omitempty"`
}

// Combine returns where the stream of a query began, given the answers of those of the asked control hosts that answered. It returns false if
// none of them knows, or if they contradict each other. That there is a single version follows only from the answers of the leader or
// of more than half of the hosts, because the others may have been cut off from them when another version appeared.
func (q Query) Combine(answers []Answer, asked int) (Origin, bool) {
	var recorded, uniform []Origin
	mixed, current := false, 2*len(answers) > asked
	for _, a := range answers {
		if a.Found {
			recorded = append(recorded, a.Origin)
		}
		if a.Uniform {
			uniform = append(uniform, Origin{Service: q.Service, Software: a.Software})
		}
		mixed, current = mixed || a.Mixed, current || a.Leads
	}
	switch {
	case len(recorded) > 0:
		return agreed(recorded)
	case mixed || !current:
		return Origin{}, false
	default:
		return agreed(uniform)
	}
}

// agreed returns the origin that all of the given ones are, or false if they differ or there is none.
func agreed(origins []Origin) (Origin, bool) {
	if len(origins) == 0 {
		return Origin{}, false
	}
	for _, o := range origins[1:] {
		if o != origins[0] {
			return Origin{}, false
		}
	}
	return origins[0], true
}
