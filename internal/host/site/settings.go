package site

import (
	"sync/atomic"
	"time"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/routing/allowance"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Settings are the checked settings of one host of an installation whose hosts find each other. A host is named by its IP
// number; all hosts use the same port for the link between them.
type Settings struct {
	Name       unit.HostName // IP number
	Label      string        // what people call the host
	DataCentre unit.DataCentre
	LinkPort   int
	KeysFolder string // holds the authority that signs the hosts' certificates

	// Callers and Ready are the addresses for callers and for the balancer's question, both empty without the entry role.
	Callers, Ready string
	// Control is the address for operators and endpoints, empty without the control role.
	Control string
	// Metrics is the address that serves metrics, empty for none.
	Metrics string

	Seeds      *Seeds
	DataFolder string
	// Form allows this host to form the control group together with the seeds.
	Form bool
	// Voters is the number of voting control hosts that the installation is built for.
	Voters      int
	LeaseWait   time.Duration // how long a new leader sends no orders to replicas
	StopGrace   time.Duration // from the stop signal to the end of the process
	MemoryBytes int64         // of the process, 0 for no limit
	Allowance   allowance.Settings
	Assign      assign.Settings
}

// Seeds are the control hosts that a host may ask first. They may be replaced while the process runs.
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
