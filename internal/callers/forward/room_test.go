package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronglade/citronglade/internal/base/unit"
	"github.com/citronglade/citronglade/internal/planning/table"
	"github.com/citronglade/citronglade/internal/routing/assign"
)

// longerIfLessUrgent is the objective of routes whose urgency agrees with their objectives, shorterIfLessUrgent that of others.
func longerIfLessUrgent(priority int) time.Duration { return time.Second << (2 * priority) }

func shorterIfLessUrgent(priority int) time.Duration { return time.Duration(10-priority) * time.Second }

// newClassRequest returns a request of the first of several stream routes with the given priorities.
func newClassRequest(t *testing.T, priorities []int, objective func(priority int) time.Duration, customer *table.Customer) *request {
	t.Helper()
	known := &table.Table{Version: 1, Services: []table.Service{{Name: "llm", Engine: &table.Engine{}}}}
	for i, priority := range priorities {
		known.Routes = append(known.Routes, table.Route{
			Name: "r", Host: "h", Prefix: "/" + string(rune('a'+i)) + "/", Kind: table.KindStream, Timeout: time.Second, Priority: priority, HasPrompt: true,
			Objective: objective(priority), MaxEventGap: time.Second, Targets: []table.Target{{Service: "llm", Weight: 1}},
		})
	}
	assert.NilError(t, known.Compile())
	service, _ := known.Service("llm")
	return &request{table: known, route: &known.Routes[0], service: service, customer: customer, call: &Call{ID: unit.RequestID("1"), Prompt: &Prompt{Model: "m"}}}
}

// Guards against limits by class in services whose stream routes have one priority, or whose more urgent routes have the longer objectives, and against a
// customer's priority that doesn't count.
func TestClassesFollowTheRoutingTable(t *testing.T) {
	urgentCustomer := 0
	cases := []struct {
		name       string
		priorities []int
		customer   *table.Customer
		objective  func(priority int) time.Duration
		class      assign.Class
		objectives int
	}{
		{name: "urgency against objectives", priorities: []int{5, 1}, objective: shorterIfLessUrgent},
		{name: "one priority", priorities: []int{5, 5}},
		{name: "two priorities", priorities: []int{5, 1}, class: 1, objectives: 2},
		{name: "urgent customer", priorities: []int{5, 1}, customer: &table.Customer{Name: "c", Priority: &urgentCustomer}, objectives: 2},
		{name: "more priorities than classes", priorities: []int{5, 1, 2, 3, 4, 6}, class: 3, objectives: 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.objective == nil {
				c.objective = longerIfLessUrgent
			}
			w := newClassRequest(t, c.priorities, c.objective, c.customer).newWork()
			assert.Equal(t, w.Class, c.class)
			assert.Equal(t, len(w.Objectives), c.objectives)
		})
	}
}

// Guards against a caller that has returned after a refusal and is served after new ones, or before those of a more urgent route.
func TestReturnedRequestsGoBeforeNewOnes(t *testing.T) {
	cases := []struct {
		name       string
		priorities []int // the first is that of the request
		returned   bool
		before     bool
	}{
		{name: "new", priorities: []int{5, 1}},
		{name: "returned", priorities: []int{5, 1}, returned: true, before: true},
		{name: "next priority taken", priorities: []int{2, 1}, returned: true},
		{name: "most urgent", priorities: []int{0, 1}, returned: true},
		{name: "one priority", priorities: []int{5}, returned: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newClassRequest(t, c.priorities, longerIfLessUrgent, nil)
			r.work = r.newWork()
			r.work.PreviouslyRefused = c.returned
			assert.Equal(t, r.goesBeforeNew(), c.before)
		})
	}
}
