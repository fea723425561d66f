package meter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
)

// Guards against a metrics page that grows with every customer, of which there may be 30,000.
func TestMeterBoundsTheNumberOfCustomers(t *testing.T) {
	set := metrics.NewSet()
	m := New(set, 2)
	for i := range 100 {
		m.Observe(Sample{Customer: unit.CustomerID(fmt.Sprintf("c%d", i)), Class: "urgent", FirstToken: time.Second, Total: time.Second})
	}
	var page bytes.Buffer
	set.WritePrometheus(&page)
	assert.Assert(t, strings.Contains(page.String(), `tenant="c1"`))
	assert.Assert(t, strings.Contains(page.String(), `tenant="other"`))
	assert.Assert(t, !strings.Contains(page.String(), `tenant="c2"`))
}

// Guards against counters of limits that grow with every customer, or that lack the name of a customer because others sent requests before it.
func TestMeterBoundsTheCountersOfLimits(t *testing.T) {
	set := metrics.NewSet()
	m := New(set, 2)
	for i := range 100 {
		m.Observe(Sample{Customer: unit.CustomerID(fmt.Sprintf("c%d", i)), Class: "urgent", Total: time.Second})
	}
	for i := range 10 {
		customer := unit.CustomerID(fmt.Sprintf("c%d", 90+i))
		m.CountRefusal(customer, i%2 == 0)
		m.CountReturn(customer)
	}
	var page bytes.Buffer
	set.WritePrometheus(&page)
	for _, line := range []string{
		`citronglade_usage_refusals_total{tenant="c90"} 1`, `citronglade_usage_refusals_total{tenant="c91"} 1`,
		`citronglade_usage_refusals_total{tenant="other"} 8`, `citronglade_usage_refusals_by_own_share_total{tenant="c90"} 1`,
		`citronglade_usage_refusals_by_own_share_total{tenant="other"} 4`, `citronglade_usage_returned_requests_total{tenant="other"} 8`,
	} {
		assert.Assert(t, strings.Contains(page.String(), line+"\n"), "%s isn't in\n%s", line, &page)
	}
	assert.Assert(t, !strings.Contains(page.String(), `tenant="c92"`))
}
