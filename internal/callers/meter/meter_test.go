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
