package platformhost

import (
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/assign"
	"github.com/citronglade/citronglade/internal/routing/retrybudget"
)

// Settings are the checked settings of one host of an installation whose hosts discover each other. A host's name is its IP address.
// All hosts use the same port for the link between them.
type Settings struct {
	Name       unit.HostName // IP address
	Label      string        // display name of the host, used in the log
	DataCentre unit.DataCentre
	LinkPort   int
	KeysFolder string // holds the certificate authority that signs the hosts' certificates

	// CallerAddress and ReadyAddress are the addresses for callers and for the load balancer's readiness check, both empty without the entry role.
	CallerAddress, ReadyAddress string
	// ControlAddress is the address for operators and endpoints, empty without the control role.
	ControlAddress string
	// MetricsAddress is the address for metrics, empty if metrics aren't served.
	MetricsAddress string

	Seeds      *Seeds
	DataFolder string
	// FormGroup allows this host to form the control group together with the seeds.
	FormGroup bool
	// Voters is the number of voting control hosts that the installation is designed for.
	Voters      int
	LeaseWait   time.Duration // how long a new leader waits before it sends orders to replicas
	StopGrace   time.Duration // longest time from the stop signal to the end of the process
	MemoryBytes int64         // memory of the process, 0 for no limit
	Descriptors int           // that the process may open, 0 for what the machine allows
	Allowance   retrybudget.Settings
	Assign      assign.Settings
}

// Seeds are the control hosts that a host contacts first. They may be replaced while the process runs. Seeds is safe for concurrent use.
type Seeds struct {
	names atomic.Pointer[[]unit.HostName]
}

// Set replaces the seeds. An empty list changes nothing.
func (s *Seeds) Set(names []unit.HostName) {
	if len(names) > 0 {
		s.names.Store(&names)
	}
}

// Names returns the seeds.
func (s *Seeds) Names() []unit.HostName {
	names := s.names.Load()
	if names == nil {
		return nil
	}
	return *names
}
