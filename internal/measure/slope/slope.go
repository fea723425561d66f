// Package slope measures how the cost of each mechanism grows with the size of the deployment. It runs in one process and
// without sockets. docs/CAPACITY.md is based on its results.
package slope

import (
	"runtime"
	"syscall"
	"time"

	"github.com/citronglade/citronglade/internal/base/fault"
)

// Row is one measured value.
type Row struct {
	Mechanism string  `json:"mechanism"`
	Size      string  `json:"size"`
	Quantity  string  `json:"quantity"`
	Value     float64 `json:"value"`
	Unit      string  `json:"unit"`
}

// Measurement measures one mechanism. Name is the name of the mechanism, and Usage says which quantities Run measures.
type Measurement struct {
	Name, Usage string
	Run         func() ([]Row, error)
}

// Table lists the measurements of all mechanisms.
var Table = []Measurement{
	{"gossip", "bytes, processor time and staleness of the endpoints' gossip for each host", measureGossip},
	{"placement", "processor time of one decision and memory of the index", measurePlacement},
	{"sheet", "size and processor time of a configuration change", measureSheet},
	{"share", "bytes and processor time of the leased shares of customers' limits", measureShare},
	{"record", "bytes and processor time of one request's record", measureRecord},
	{"ledger", "processor time and memory of one claim in the state machine", measureLedger},
	{"stream", "processor time of one forwarded token", measureStream},
}

// New returns the measurement with this name. It fails with fault.NotFound.
func New(name string) (Measurement, error) {
	for _, m := range Table {
		if m.Name == name {
			return m, nil
		}
	}
	return Measurement{}, fault.NotFound.New("no measurement %q", name)
}

// processorTime returns the processor time that the process has used. Unlike elapsed time, it doesn't grow while other
// processes run.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the bytes of the heap in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func microsecondsPer(d time.Duration, count int) float64 {
	return float64(d.Nanoseconds()) / 1000 / float64(count)
}
