package registry

import (
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
)

// softwareHistory is when an endpoint of each software version last reported, by service. It outlasts the endpoints, whose ids and
// addresses may come back with another version.
type softwareHistory map[table.ServiceName]map[unit.SoftwareVersion]unit.Moment

func (s softwareHistory) record(service table.ServiceName, software unit.SoftwareVersion, at unit.Moment) {
	if service == "" {
		return // a lifetime of which only the end is known
	}
	if s[service] == nil {
		s[service] = map[unit.SoftwareVersion]unit.Moment{}
	}
	if known, ok := s[service][software]; !ok || at > known {
		s[service][software] = at
	}
}

// MixedSoftware reports whether endpoints of several software versions of one service may have served requests within the given time. An
// endpoint may serve as long as it is kept after its last report.
func (r *Registry) MixedSoftware(now unit.Moment, within time.Duration) bool {
	mixed := false
	for _, versions := range r.software {
		if len(versions) < 2 {
			continue
		}
		newest := unit.Moment(0)
		for _, at := range versions {
			newest = max(newest, at)
		}
		for software, at := range versions {
			if at < newest && now.Sub(at) > retentionPeriod+within {
				delete(versions, software)
			}
		}
		mixed = mixed || len(versions) > 1
	}
	return mixed
}

// Software returns the software version of a service, or false if the service has none or several.
func (r *Registry) Software(service table.ServiceName) (unit.SoftwareVersion, bool) {
	for software := range r.software[service] {
		return software, len(r.software[service]) == 1
	}
	return "", false
}
