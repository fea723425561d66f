package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// Guards against limits by class in services whose stream routes have one priority, and against a customer's priority that doesn't count.
func TestClassesFollowTheRoutingTable(t *testing.T) {
	urgentCustomer := 0
	cases := []struct {
		name       string
		priorities []int
		customer   *table.Customer
		class      assign.Class
		objectives int
	}{
		{name: "one priority", priorities: []int{5, 5}},
		{name: "two priorities", priorities: []int{5, 1}, class: 1, objectives: 2},
		{name: "urgent customer", priorities: []int{5, 1}, customer: &table.Customer{Name: "c", Priority: &urgentCustomer}, objectives: 2},
		{name: "more priorities than classes", priorities: []int{5, 1, 2, 3, 4, 6}, class: 3, objectives: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			known := &table.Table{Version: 1, Services: []table.Service{{Name: "llm", Engine: &table.Engine{}}}}
			for i, priority := range c.priorities {
				known.Routes = append(known.Routes, table.Route{
					Name: "r", Host: "h", Prefix: "/" + string(rune('a'+i)) + "/", Kind: table.KindStream, Timeout: time.Second, Priority: priority,
					Objective: time.Second, Targets: []table.Target{{Service: "llm", Weight: 1}},
				})
			}
			assert.NilError(t, known.Compile())
			service, _ := known.Service("llm")
			r := &request{table: known, route: &known.Routes[0], service: service, customer: c.customer, call: &Call{ID: unit.RequestID("1"), Prompt: &Prompt{Model: "m"}}}
			w := r.newWork()
			assert.Equal(t, w.Class, c.class)
			assert.Equal(t, len(w.Objectives), c.objectives)
		})
	}
}
