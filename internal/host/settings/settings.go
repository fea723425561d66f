// Package settings reads and checks the settings of a host. Each setting is a flag and an environment variable. All problems are
// reported at the same time.
package settings

import (
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
	"github.com/citronglade/citronglade/internal/base/unit"
)

// Role is a role of a host. A host has one or both roles.
type Role string

const (
	// RoleEntry serves callers' requests.
	RoleEntry Role = "entry"
	// RoleControl stores the configuration, the claims and the record on its disk.
	RoleControl Role = "control"
)

// Settings are the checked settings of one host.
type Settings struct {
	Name       unit.HostName
	DataCentre unit.DataCentre
	Roles      []Role

	LinkListen     string
	CallerListen   string
	EndpointListen string
	OperatorListen string
	MetricsListen  string

	Peers        map[unit.HostName]string
	EntryHosts   []unit.HostName
	ControlHosts []unit.HostName

	KeysFolder      string
	DataFolder      string
	AnnounceKeyFile string

	Placement     string
	PieceTokens   unit.Tokens
	BytesPerToken int
	IndexPieces   int
	// CacheEventSample is n if endpoints report the cache events of one digest in n. 1 means all digests.
	CacheEventSample int
	Freshness        time.Duration

	ConfigurationLease time.Duration
	ServeStale         bool
	LedgerGroups       int
	ConcurrentLoads    int
	RecordInterval     time.Duration
	StopGrace          time.Duration
	MetricCustomers    int
	// MemoryMB is the memory of the process in MiB, and MaxDescriptors the descriptors that it may open; 0 for those of the machine.
	MemoryMB, MaxDescriptors int
}

// Has reports whether the host has the role.
func (s *Settings) Has(role Role) bool {
	return slices.Contains(s.Roles, role)
}

// Origin says where a setting's value came from.
type Origin string

const (
	// OriginDefault is the built-in value.
	OriginDefault Origin = "default"
	// OriginEnvironment is an environment variable.
	OriginEnvironment Origin = "environment"
	// OriginFlag is a flag of the command line.
	OriginFlag Origin = "flag"
)

// Value is the value of one setting and its origin.
type Value struct {
	Name   string `json:"name"`
	Value  string `json:"value"`
	Origin Origin `json:"origin"`
}

// Problem is a setting with an invalid value.
type Problem struct {
	Value
	Allowed string `json:"allowed"`
}

// Error implements error.
func (p Problem) Error() string {
	return "setting --" + p.Name + " is " + strconv.Quote(p.Value.Value) + " (" + string(p.Origin) + "), allowed: " + p.Allowed
}

// New reads and checks all settings of Table. The function flag returns the value of a flag and whether the flag was given. All problems
// are returned in one error of type fault.BadSetting.
func New(flag func(name string) (string, bool)) (*Settings, []Value, error) {
	settings := &Settings{}
	var values []Value
	var problems []string
	for _, definition := range Table {
		value := resolve(definition, flag)
		values = append(values, value)
		if !definition.apply(settings, value.Value) {
			problems = append(problems, Problem{Value: value, Allowed: definition.Allowed}.Error())
		}
	}
	problems = append(problems, settings.checkCombinations()...)
	if len(problems) > 0 {
		return nil, values, fault.BadSetting.New("%s", strings.Join(problems, "\n"))
	}
	return settings, values, nil
}

// resolve returns the value of a setting: that of the flag, else that of the environment variable, else the default.
func resolve(d Definition, flag func(name string) (string, bool)) Value {
	if value, ok := flag(d.Name); ok {
		return Value{Name: d.Name, Value: value, Origin: OriginFlag}
	}
	if value, ok := os.LookupEnv(d.Variable()); ok {
		return Value{Name: d.Name, Value: value, Origin: OriginEnvironment}
	}
	return Value{Name: d.Name, Value: d.Default, Origin: OriginDefault}
}

// checkCombinations returns the problems of settings whose values are valid on their own but not in combination.
func (s *Settings) checkCombinations() []string {
	var problems []string
	known := func(name unit.HostName) bool {
		_, ok := s.Peers[name]
		return ok || name == s.Name
	}
	for _, name := range append(slices.Clone(s.EntryHosts), s.ControlHosts...) {
		if !known(name) {
			problems = append(problems, "host "+strconv.Quote(string(name))+" is named in --entry-hosts or --control-hosts and has no address in --peers")
		}
	}
	if s.Has(RoleControl) && s.DataFolder == "" {
		problems = append(problems, "setting --data-folder is empty, a control host needs one")
	}
	if s.Has(RoleControl) && !slices.Contains(s.ControlHosts, s.Name) {
		problems = append(problems, "host "+strconv.Quote(string(s.Name))+" has the control role and isn't in --control-hosts")
	}
	if s.Has(RoleEntry) && !slices.Contains(s.EntryHosts, s.Name) {
		problems = append(problems, "host "+strconv.Quote(string(s.Name))+" has the entry role and isn't in --entry-hosts")
	}
	return problems
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	number, err := strconv.Atoi(port)
	return err == nil && number >= 0 && number <= 65535
}
