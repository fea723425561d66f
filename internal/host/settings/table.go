package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
)

const (
	variablePrefix = "CITRONGLADE_"

	addressAllowed = "an IP address and a port, such as 127.0.0.1:9000"
	namesAllowed   = "host names separated by commas"
)

// Definition defines one setting.
type Definition struct {
	Name    string
	Usage   string // what the setting does
	Default string
	Allowed string                               // which values are allowed
	apply   func(s *Settings, value string) bool // stores the value in s and reports whether it is valid
}

// Variable returns the name of the setting's environment variable.
func (d Definition) Variable() string {
	return variablePrefix + strings.ToUpper(strings.ReplaceAll(d.Name, "-", "_"))
}

// Table lists every setting of a host.
var Table = []Definition{
	{"name", "this host's name, as in its certificate", "", "a name of letters, digits and hyphens", func(s *Settings, v string) bool {
		s.Name = unit.HostName(v)
		return isName(v)
	}},
	{"data-centre", "the data centre that this host is in", "", "a name of letters, digits and hyphens", func(s *Settings, v string) bool {
		s.DataCentre = unit.DataCentre(v)
		return isName(v)
	}},
	{"roles", "what this host does", "entry", "entry, control or entry,control", func(s *Settings, v string) bool {
		for _, role := range splitNames(v) {
			if role != string(RoleEntry) && role != string(RoleControl) {
				return false
			}
			s.Roles = append(s.Roles, Role(role))
		}
		return len(s.Roles) > 0
	}},
	{"link-listen", "UDP address for the system's own hosts", "127.0.0.1:7100", addressAllowed, setAddress(func(s *Settings) *string { return &s.LinkListen })},
	{"caller-listen", "TCP address for callers, with /healthz and /readyz for the balancer", "127.0.0.1:7200", addressAllowed, setAddress(func(s *Settings) *string { return &s.CallerListen })},
	{"endpoint-listen", "TCP address for endpoints' announcements and cache events", "127.0.0.1:7300", addressAllowed, setAddress(func(s *Settings) *string { return &s.EndpointListen })},
	{"operator-listen", "TCP address for operators (HTTPS with a client certificate)", "127.0.0.1:7400", addressAllowed, setAddress(func(s *Settings) *string { return &s.OperatorListen })},
	{"metrics-listen", "TCP address of /metrics, /healthz and /readyz", "127.0.0.1:7500", addressAllowed, setAddress(func(s *Settings) *string { return &s.MetricsListen })},
	{"peers", "link addresses of the other hosts", "", "name=IP:port pairs separated by commas", func(s *Settings, v string) bool {
		s.Peers = map[unit.HostName]string{}
		for _, pair := range splitNames(v) {
			name, at, ok := strings.Cut(pair, "=")
			if !ok || !isName(name) || !isAddress(at) {
				return false
			}
			s.Peers[unit.HostName(name)] = at
		}
		return true
	}},
	{"entry-hosts", "names of all entry hosts", "", namesAllowed, setHosts(func(s *Settings) *[]unit.HostName { return &s.EntryHosts })},
	{"control-hosts", "names of all control hosts, 1, 3 or 5 of them", "", namesAllowed, setHosts(func(s *Settings) *[]unit.HostName { return &s.ControlHosts })},
	{"keys-folder", "folder with authority.pem, NAME.pem and NAME-key.pem", "keys", "a folder", setText(func(s *Settings) *string { return &s.KeysFolder })},
	{"data-folder", "folder for the durable state of a control host", "", "a folder", func(s *Settings, v string) bool {
		s.DataFolder = v
		return true
	}},
	{"announce-key-file", "file with the key that endpoints show when they announce themselves", "keys/announce.key", "a file", setText(func(s *Settings) *string { return &s.AnnounceKeyFile })},
	{"placement", "how an endpoint is chosen", "warm", "warm, round-robin, least-loaded or consistent-hash", func(s *Settings, v string) bool {
		s.Placement = v
		return slices.Contains([]string{"warm", "round-robin", "least-loaded", "consistent-hash"}, v)
	}},
	{"piece-tokens", "tokens of one cache piece", "2000", "a whole number from 16 to 100000", func(s *Settings, v string) bool {
		number, ok := parseInRange(v, 16, 100_000)
		s.PieceTokens = unit.Tokens(number)
		return ok
	}},
	{"bytes-per-token", "bytes of prompt text counted as one token", "4", "a whole number from 1 to 16", setNumber(1, 16, func(s *Settings) *int { return &s.BytesPerToken })},
	{"index-pieces", "cached pieces that an entry host remembers", "200000", "a whole number from 1000 to 10000000", setNumber(1000, 10_000_000, func(s *Settings) *int { return &s.IndexPieces })},
	{"cache-event-sample", "endpoints report the events of one cache piece in this many; 1 is all, larger numbers save traffic in large fleets", "1", "a whole number from 1 to 256", setNumber(1, 256, func(s *Settings) *int { return &s.CacheEventSample })},
	{"freshness", "how long an endpoint stays usable after its last announcement", "2s", "a duration from 100ms to 1m", setDuration(100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Freshness })},
	{"configuration-lease", "how long a confirmed configuration may be served", "5s", "a duration from 1s to 14s", setDuration(time.Second, 14*time.Second, func(s *Settings) *time.Duration { return &s.ConfigurationLease })},
	{"stale-configuration", "what an entry host does when it can't confirm its configuration", "refuse", "refuse or serve", func(s *Settings, v string) bool {
		s.ServeStale = v == "serve"
		return v == "serve" || v == "refuse"
	}},
	{"ledger-groups", "groups that once-only claims are spread over; the same on every host and never changed", "2", "a whole number from 1 to 64", setNumber(1, 64, func(s *Settings) *int { return &s.LedgerGroups })},
	{"concurrent-loads", "replicas that may load weights at once", "3", "a whole number from 1 to 100", setNumber(1, 100, func(s *Settings) *int { return &s.ConcurrentLoads })},
	{"record-interval", "how often an entry host ships its record", "200ms", "a duration from 10ms to 10s", setDuration(10*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.RecordInterval })},
	{"stop-grace", "how long a planned stop waits for running requests", "5m", "a duration from 1s to 1h", setDuration(time.Second, time.Hour, func(s *Settings) *time.Duration { return &s.StopGrace })},
	{"memory-mb", "memory of the process in MiB, from which the limits for clients follow; 0 for that of the machine", "0", "a whole number from 0 to 1048576", setNumber(0, 1<<20, func(s *Settings) *int { return &s.MemoryMB })},
	{"max-descriptors", "descriptors that the process may open; 0 for those that the machine allows", "0", "a whole number from 0 to 1048576", setNumber(0, 1<<20, func(s *Settings) *int { return &s.MaxDescriptors })},
	{"metric-customers", "customers with histograms of their own; the others share one", "200", "a whole number from 0 to 5000", setNumber(0, 5000, func(s *Settings) *int { return &s.MetricCustomers })},
}

// setAddress and the functions below return a Definition's apply for one type of value. field returns the field of Settings to set.
func setAddress(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		*field(s) = v
		return isAddress(v)
	}
}

func setText(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		*field(s) = v
		return v != ""
	}
}

func setHosts(field func(*Settings) *[]unit.HostName) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		for _, name := range splitNames(v) {
			if !isName(name) {
				return false
			}
			*field(s) = append(*field(s), unit.HostName(name))
		}
		return len(*field(s)) > 0
	}
}

func setNumber(least, most int, field func(*Settings) *int) func(*Settings, string) bool {
	return func(s *Settings, v string) (ok bool) {
		*field(s), ok = parseInRange(v, least, most)
		return ok
	}
}

func setDuration(least, most time.Duration, field func(*Settings) *time.Duration) func(*Settings, string) bool {
	return func(s *Settings, v string) bool {
		parsed, err := time.ParseDuration(v)
		*field(s) = parsed
		return err == nil && parsed >= least && parsed <= most
	}
}

// parseInRange parses a whole number and reports whether it is from least to most.
func parseInRange(value string, least, most int) (int, bool) {
	parsed, err := strconv.Atoi(value)
	return parsed, err == nil && parsed >= least && parsed <= most
}

func splitNames(value string) []string {
	var names []string
	for name := range strings.SplitSeq(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	return names
}

// isName reports whether a value is valid as the name of a host or data centre: 1 to 63 lower-case letters, digits and hyphens.
func isName(value string) bool {
	if value == "" || len(value) > 63 {
		return false
	}
	for _, r := range value {
		if r != '-' && (r < 'a' || r > 'z') && (r < '0' || r > '9') {
			return false
		}
	}
	return true
}
